# Functions that start one deployment's processes from its examples, on free
# ports, and stop them by process id. Sourced by scripts/demo and others.
# Needs: root (the checkout), work (a folder for settings, logs and data).

stand_ins=()
members=()
ports_of_examples=()
bin=$root/.venv/bin
start_seconds=40

start_process() { # name command...
    local name=$1
    shift
    (cd "$work" && exec "$@" >"$name.log" 2>&1) &
}

wait_for_file() { # path
    local deadline=$((SECONDS + start_seconds))
    until [ -s "$1" ]; do
        if [ "$SECONDS" -ge "$deadline" ]; then
            echo "no port in $1; see $work" >&2
            return 1
        fi
        sleep 0.05
    done
}

start_stand_in() { # name kind settings
    start_process "$1" "$bin/jasminewheel-fake-$2" \
        --port 0 --port-file "$work/$1.port" ${3:+--settings "$3"}
    stand_ins+=($!)
}

# Notes which port a process got in place of the one in the examples.
map_port() { # example-port port-file
    wait_for_file "$2"
    ports_of_examples+=(-e "s/127\.0\.0\.1:$1\b/127.0.0.1:$(cat "$2")/g")
}

# Copies an example with the ports in use; own ports are left to the system.
localise() { # example copy
    sed "${ports_of_examples[@]}" \
        -e 's/\("[a-z_]*port"\): [0-9]*/\1: 0/' "$1" >"$2"
}

runner_ports() { # example target
    sed -n "s/.*\"name\": \"$2-[0-9]*\", \"url\": \"http:\/\/127.0.0.1:\([0-9]*\)\".*/\1/p" "$1"
}

start_runners() { # example target kind settings
    local port
    for port in $(runner_ports "$1" "$2"); do
        start_stand_in "$2-$port" "$3" "$4"
    done
    for port in $(runner_ports "$1" "$2"); do
        map_port "$port" "$work/$2-$port.port"
    done
}

runner_urls() { # example target
    local port
    for port in $(runner_ports "$1" "$2"); do
        echo "http://127.0.0.1:$(cat "$work/$2-$port.port")"
    done
}

start_members() { # examples-folder
    local number
    for number in 1 2 3; do
        localise "$1/history-$number.jsonc" "$work/history-$number.jsonc"
        start_process "history-$number" "$bin/jasminewheel-history" \
            --settings "history-$number.jsonc"
        members+=($!)
    done
    for number in 1 2 3; do
        wait_for_file "$work/history-$number.port"
        local example
        example=$(sed -n 's/.*"peer_port": \([0-9]*\).*/\1/p' \
            "$1/history-$number.jsonc")
        map_port "$example" "$work/history-$number.port"
    done
    for number in 1 2 3; do
        localise "$1/entry-$number.jsonc" "$work/entry-$number.jsonc"
        start_process "entry-$number" "$bin/jasminewheel-entry" \
            --settings "entry-$number.jsonc"
        members+=($!)
    done
    entries=()
    for number in 1 2 3; do
        wait_for_file "$work/entry-$number.http"
        entries+=("http://127.0.0.1:$(cat "$work/entry-$number.http")")
    done
}

is_ready() { # port
    local status
    exec 3<>"/dev/tcp/127.0.0.1/$1" || return 1
    printf 'GET /readyz HTTP/1.0\r\n\r\n' >&3
    read -r -t 2 status <&3 || status=''
    exec 3>&-
    [[ $status == *' 200 '* ]]
}

wait_until_ready() { # urls...
    local url deadline=$((SECONDS + start_seconds))
    for url in "$@"; do
        until is_ready "${url##*:}" 2>/dev/null; do
            if [ "$SECONDS" -ge "$deadline" ]; then
                echo "$url is not ready; see $work" >&2
                return 1
            fi
            sleep 0.1
        done
    done
}

# Starts a whole deployment; sets entries, engines and services.
start_fleet() { # examples-folder model-target service-target store-port
    ports_of_examples=()
    (umask 077 && head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' \
        >"$work/fleet.key")
    start_stand_in store store
    start_runners "$1/resources.jsonc" "$2" engine \
        "$root/examples/${engine_settings:-engine.jsonc}"
    start_runners "$1/resources.jsonc" "$3" tool "$root/examples/tool.jsonc"
    map_port "$4" "$work/store.port"
    localise "$1/resources.jsonc" "$work/resources.jsonc"
    start_members "$1"
    echo example-operator-key >"$work/operator.key"
    "$bin/jasminewheelctl" apply --file "$work/resources.jsonc" \
        --server "${entries[0]}" --key-file "$work/operator.key" \
        >"$work/apply.log"
    wait_until_ready "${entries[@]}"
    mapfile -t engines < <(runner_urls "$1/resources.jsonc" "$2")
    mapfile -t services < <(runner_urls "$1/resources.jsonc" "$3")
}

stop_processes() { # pids...
    local pid
    for pid in "$@"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "$@"; do
        wait "$pid" 2>/dev/null || true
    done
}

# Members go first, so that they can still say farewell to the store.
stop_fleet() {
    stop_processes "${members[@]}"
    stop_processes "${stand_ins[@]}"
    members=()
    stand_ins=()
}
