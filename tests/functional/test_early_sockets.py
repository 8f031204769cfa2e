"""Check that clients that connect during a start wait instead of failing."""

import os
import socket
import subprocess
import sys
import time
from contextlib import ExitStack

import pytest
import trio

from jasminewheel._internal.web.early_sockets import EarlySockets
from jasminewheel._internal.web.server import WebServer
from tests.free_port import HOST, free_port

SETTINGS = """
NodeName = "front-1"
Ip = "127.0.0.1"
Zone = "z"
PortRange = [{peers}, {peers}]
[Listen]
Front = "127.0.0.1:{front}"
Ready = "127.0.0.1:{ready}"
[Platform]
Address = "127.0.0.1:1"
"""
COMMAND = (sys.executable, '-m', 'jasminewheel.platform', 'entry')
# Time limit of a start. Loading the libraries alone takes several times as long
# as it takes to open the sockets.
START_SECONDS = 10.0


def test_request_sent_before_the_server_runs_is_answered():
    """A request received early is read once the server owns the socket."""

    async def handle(request, answer) -> None:
        await answer.send_whole(200, [], b'late but here')

    async def scenario() -> bytes:
        address = f'{HOST}:{free_port()}'
        early = EarlySockets([address, ''])
        host, _, port = address.rpartition(':')
        client = await trio.open_tcp_stream(host, int(port))
        await client.send_all(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        async with client, trio.open_nursery() as nursery:
            web = WebServer(handle, print)
            await nursery.start(web.serve_early, early.take(address))
            received = await client.receive_some()
            nursery.cancel_scope.cancel()
        assert early.take(address) is None
        return received

    assert b'late but here' in trio.run(scenario)


def test_taken_address_is_left_to_the_server():
    """An address in use gets no early socket; the server reports the error."""
    with socket.create_server((HOST, 0)) as other:
        port = other.getsockname()[1]
        address = f'{HOST}:{port}'
        assert EarlySockets([address]).take(address) is None


def _connect_until(port: int, deadline: float) -> float:
    while time.monotonic() < deadline:
        try:
            socket.create_connection((HOST, port)).close()
        except ConnectionRefusedError:
            time.sleep(0.002)
        else:
            return time.monotonic()
    pytest.fail('the entry did not listen')


def test_entry_listens_before_it_is_loaded(tmp_path):
    """An entry accepts connections long before it can answer."""
    ports = {name: free_port() for name in ('peers', 'front', 'ready')}
    path = tmp_path / 'settings.toml'
    path.write_text(SETTINGS.format(**ports), encoding='utf-8')
    environment = {**os.environ, 'JASMINEWHEEL_NODE_FILE': str(path)}
    began = time.monotonic()
    deadline = began + START_SECONDS
    with ExitStack() as stack:
        process = stack.enter_context(
            subprocess.Popen(
                COMMAND, env=environment, stdout=subprocess.DEVNULL
            )
        )
        stack.callback(process.terminate)
        listening = _connect_until(ports['front'], deadline) - began
        serving = _connect_until(ports['peers'], deadline) - began
    assert listening < serving / 2


def test_broken_settings_end_the_start_with_one_line(tmp_path):
    """The line names the file and the missing field."""
    path = tmp_path / 'settings.toml'
    path.write_text('NodeName = "front-1"\n', encoding='utf-8')
    ended = subprocess.run(
        COMMAND,
        env={**os.environ, 'JASMINEWHEEL_NODE_FILE': str(path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert ended.returncode == 2
    assert ended.stderr.count('\n') == 1
    assert str(path) in ended.stderr
    assert 'is missing' in ended.stderr
