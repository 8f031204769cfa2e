// Grants of callers' budgets: an entry takes a slice from the account's owner.
namespace py budget

struct TakeGrant {
  1: string caller,
  2: string grant,          // identifier; the same one is granted once
  3: string holder,         // member that will spend it
  4: i64 minimum,           // tokens, below which a grant is of no use
  5: i64 wanted,            // tokens
}

struct GrantTaken {
  1: i64 amount,            // tokens; 0 is a refusal
  2: i64 window_start_ms,   // Unix time
  3: double seconds_left,   // until the window ends
}

struct ReturnGrant {
  1: string caller,
  2: string grant,
  3: i64 unspent,           // tokens
}

struct GrantReturned {
  1: bool counted,          // false if the grant is unknown or already back
}

// Records of an account's log.

struct OpenGrant {
  1: string grant,
  2: string holder,
  3: i64 amount,
}

struct AccountSnapshot {
  1: i64 window_start_ms,
  2: i64 granted,           // tokens granted in the window, less returns
  3: list<OpenGrant> grants,
}

struct GivenBack {
  1: string grant,
  2: i64 unspent,
}

struct AccountChange {
  1: list<OpenGrant> taken,
  2: list<GivenBack> returned,
}
