// What operators' commands ask of each member.
namespace py operations

struct StatusRequest {
}

struct MemberStatus {
  1: string member,
  2: string zone,
  3: string region,
  4: list<string> roles,
  5: bool leaving,
  6: i64 configuration_version,
  7: i64 placement_epoch,
  8: double started_at,             // Unix time
  9: map<string, string> sections,  // JSON by the name of the section
}

struct EventsRequest {
  1: i64 after,                     // number of the last event known
  2: string subject,                // only events that name it; empty for all
}

struct EventRecord {
  1: i64 position,
  2: double at,                     // Unix time
  3: i32 number,
  4: string level,
  5: string text,
  6: map<string, string> fields,
  7: string member,
}

struct EventsDocument {
  1: list<EventRecord> events,
}

struct DrainRequest {
}

struct DrainAnswer {
  1: string member,
}
