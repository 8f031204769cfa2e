// The records of a program's log, and operations forwarded to its owner.
namespace py program

// ---- records, in the order in which a log may hold them

struct ProgramOpened {
  1: string caller,
  2: string request_id,
  3: string digest,        // of the body that opened it
  4: double opened_at,     // seconds since the epoch, as all times here
  5: double deadline_at,   // 0: none
  6: string parent,        // empty for a root
  7: binary labels,        // JSON object
}

struct CallStarted {
  1: string request_id,
  2: string digest,
  3: string target,
  4: string operation,     // empty for a model
  5: binary content,       // the call's input, JSON
  6: bool repeatable,
  7: i32 attempt,          // 0 for the first; one record for each runner tried
  8: string runner,
  9: i32 generation,       // rises when the text restarted from nothing
  10: string text,         // text already produced by earlier attempts
  11: double started_at,
  12: double deadline_at,
  13: i64 reserved_tokens,
}

struct CallFinished {
  1: string request_id,
  2: string verdict,       // not-run, may-have-run or ran
  3: i32 status,           // as sent to the caller
  4: binary body,          // the whole answer or the problem, JSON
  5: string text,          // the model's text
  6: i64 prompt_tokens,
  7: i64 cached_tokens,
  8: i64 completion_tokens,
  9: double finished_at,
  10: i32 generation,
}

struct ChildOpened {
  1: string request_id,
  2: string digest,
  3: i32 number,
  4: double opened_at,
}

struct ProgramEnded {
  1: string reason,
  2: double ended_at,
}

// ---- operations that any entry forwards to the owner

enum OperationKind {
  OPEN = 1,
  OPEN_CHILD = 2,
  CALL = 3,
  STATUS = 4,
  RESUME = 5,
  VIEW = 6,
  HISTORY = 7,
  END = 8,
}

struct Operation {
  1: OperationKind kind,
  2: string caller,
  3: string program,
  4: string request_id,
  5: binary body,          // the caller's JSON
  6: double deadline_at,   // 0: none
  7: i64 offset,           // of the text already received
  8: i32 generation,       // of the text already received; -1: none
  9: i32 hops,             // entries passed so far
  10: i64 configuration,   // version under which it was admitted
  11: bool plain,          // end the program with the call
}

enum OperationEventKind {
  TOKEN = 1,    // text at offset
  RESTART = 2,  // drop the text received; it starts again
  DONE = 3,     // the answer's status and body
}

struct OperationEvent {
  1: OperationEventKind kind,
  2: i64 offset,
  3: string text,
  4: i32 generation,
  5: i32 status,
  6: binary body,
  7: string verdict,
}

// Asks an entry whether it still serves a slot.
struct SlotQuestion {
  1: i32 slot,
}

struct SlotAnswer {
  1: bool owned,
}
