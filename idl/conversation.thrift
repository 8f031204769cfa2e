// What entries ask of the replicas that keep turns and token budgets.
namespace py conversation

// One finished turn; it never changes once it is written.
struct TurnRecord {
  1: string turn_id,
  2: string previous_id,       // empty at the start of a chain
  3: string program_id,
  4: binary prompt,            // what the turn added to the conversation
  5: binary output,            // what the runner said, a line for each event
  6: string runner,
  7: i64 tokens,               // handed to the caller
  8: double retention_seconds,
  9: list<string> ancestors,   // kept as long as this turn
  10: string organisation,     // that may go on from it; empty: any
}

// What one turn may take, or has taken, of its program's budget.
struct TokenReservation {
  1: string turn_id,
  2: string program_id,
  3: i64 tokens,
  4: bool settled,             // tokens is what was handed out, for good
  5: double retention_seconds,
}

// Every request names the disk it is meant for and the replica set it uses.
struct ReplicaScope {
  1: string replica,
  2: i64 set_revision,
}

struct ReserveTokens {
  1: ReplicaScope scope,
  2: TokenReservation reservation,
}

struct ReadProgramTokens {
  1: ReplicaScope scope,
  2: string program_id,
}

struct ProgramTokens {
  1: bool accepted,            // false: the asker's replica set is outdated
  2: i64 set_revision,
  3: list<TokenReservation> reservations,
}

struct CommitTurn {
  1: ReplicaScope scope,
  2: TurnRecord turn,
}

struct SettleTokens {
  1: ReplicaScope scope,
  2: TokenReservation reservation,
}

struct Stored {
  1: bool accepted,
  2: i64 set_revision,
}

struct ReadChain {
  1: ReplicaScope scope,
  2: string turn_id,
}

struct ChainRead {
  1: bool accepted,
  2: i64 set_revision,
  3: list<TurnRecord> turns,   // newest first; empty: the turn is not here
}

// Answered by a stream of RecordPage with what is not among the known, up to
// a bound; the last page says whether that is all.
struct ReadMissingRecords {
  1: ReplicaScope scope,
  2: list<string> known_turns,
  3: i64 bytes_per_second,     // 0: as fast as the way allows
}

struct RecordPage {
  1: bool accepted,
  2: i64 set_revision,
  3: list<TurnRecord> turns,
  4: list<TokenReservation> reservations,
  5: bool complete,            // the asker then has all that is here
}

// A large value that an asker has: others are told by what differs from it.
struct HeldValue {
  1: string key,
  2: i64 revision,
}

// What a process that cannot reach the store asks of one that could before.
struct ReadKnownItems {
  1: i64 after_revision,       // up to which the asker knows changes
  2: list<HeldValue> held,     // not set by an asker that can't unpack values
}

struct KnownItem {
  1: string key,
  2: binary value,             // not set if it is packed
  3: i64 revision,
  4: binary packed,            // the value, compressed by zstd
  5: i64 base_revision,        // of the key's value that is its dictionary
}

struct KnownItems {
  1: list<KnownItem> items,    // none if the asker knows as much
  2: i64 revision,             // up to which changes are among the items
  3: bool settled,             // a missing key was removed, and has not lapsed
  4: bool reads,               // the store answers who tells this
}

// What a process that follows a reader of the store asks of it. The reply comes
// with the next change, after the wait, or once the reader loses the store.
struct AwaitChanges {
  1: i64 after_revision,       // up to which the asker knows changes
  2: double wait_seconds,
  3: list<HeldValue> held,     // not set by an asker that can't unpack values
}

struct KnownChanges {
  1: list<KnownItem> written,
  2: list<string> removed,
  3: i64 revision,             // up to which changes are told
  4: bool settled,             // a missing key was removed, and has not lapsed
  5: bool reads,               // the store answers who tells this
  6: bool complete,            // all items are told; any other key was removed
  7: bool confirms,            // settled also for who missed the store before
  8: bool silent,              // without `reads`: since when is not known
  9: double age_seconds,       // since the store last answered who tells this
  10: double proof_age_seconds, // since this was certainly the newest
}

// Asked of a replica by an entry that is to pass on calls of an organisation
// whose rate is limited.
struct AskCalls {
  1: string organisation,
  2: i64 wanted,
  3: i64 returned,             // granted before here, and given back
}

struct CallGrant {
  1: i64 granted,
  2: double retry_after_seconds, // when more may be granted
  3: bool current,             // false: who tells this may know an old limit
}

// What an entry knows of the calls at runners, told to a replica that tells it
// what other entries know.
struct RunnerCalls {
  1: string runner,
  2: i64 calls,
  3: double age_seconds,       // since the runner reported it
}

struct TellRunnerCalls {
  1: list<RunnerCalls> known,
}

struct KnownRunnerCalls {
  1: list<RunnerCalls> known,
}

// Asked of another entry by one that does not reach a replica itself.
struct RelayQuestion {
  1: string replica,           // the disk that is asked
  2: string message_name,
  3: binary message,
  4: double timeout_seconds,
}

struct RelayAnswer {
  1: binary message,
}

// A runner whose connection broke off while it ran a call.
struct RunnerCrash {
  1: string runner,
  2: double age_seconds,
}

// What is known of a call, which is named by a hash of what it asks.
struct CallCrashes {
  1: binary call,
  2: list<RunnerCrash> crashes,
  3: double completed_age_seconds, // since a runner answered it whole, if ever
}

// Told to each replica by an entry that saw runners end under calls.
struct TellCrashes {
  1: list<CallCrashes> calls,
}

// Asked of a replica by an entry. The reply comes once there is another version,
// or after the wait.
struct AwaitCrashes {
  1: i64 version,              // that the asker knows; 0 for none
  2: double wait_seconds,
}

struct KnownCrashes {
  1: i64 version,
  2: list<CallCrashes> calls,
}
