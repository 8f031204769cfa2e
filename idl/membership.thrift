// Heartbeats between members, and what spreads by them.
namespace py membership

struct MemberRecord {
  1: string member,
  2: i64 incarnation,
  3: string state,              // alive, suspect or dead
  4: string zone,
  5: string region,
  6: string peer_address,
  7: list<string> roles,
  8: string accuser,            // who says so; empty for the member itself
  9: bool leaving,              // takes no new work and will go
}

// Sent as a request and as its answer.
struct Heartbeat {
  1: MemberRecord sender,
  2: i64 base,                  // changes after this sequence are included
  3: i64 sequence,              // of the sender's table after these changes
  4: i64 merged,                // the receiver's sequence that was merged last
  7: list<MemberRecord> changes,
  5: i64 configuration_version,
  6: i64 placement_epoch,
}

struct RootRequest {
}

struct RootDocument {
  1: string text,               // empty without a configuration
}

struct PartRequest {
  1: string digest,
}

struct PartDocument {
  1: string name,
  2: binary packed,             // zstandard
}

struct PlacementRequest {
}

struct PlacementDocument {
  1: string text,
}
