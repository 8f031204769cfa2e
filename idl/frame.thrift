// What every frame between two processes of the product carries.
namespace py frame

enum FrameKind {
  REQUEST = 1,   // opens an exchange
  REPLY = 2,     // one message of the answer; more follow
  LAST = 3,      // the last message of the answer
  FAILURE = 4,   // the exchange ended with an error
  CANCEL = 5,    // the asker no longer wants the answer
}

struct Envelope {
  1: i64 exchange,
  2: FrameKind kind,
  3: string name,        // name of the message type in body
  4: binary body,
  5: string traceparent, // W3C trace context of the asker's span
}

struct Failure {
  1: string code,
  2: string message,
  3: string remedy,
  4: string verdict,     // not-run, may-have-run or ran
  5: double retry_after_seconds,
}

struct Hello {
  1: string member,
  2: string incarnation,
  3: string zone,
  4: binary nonce,
  5: i32 version,
}

struct Proof {
  1: binary mac,         // HMAC-SHA256 over both hellos under the fleet's key
}
