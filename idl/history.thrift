// What owners ask of the replicas that keep histories, and what these store.
namespace py history

struct WireFence {
  1: i64 epoch,          // of the placement that the owner uses
  2: i64 term,
  3: string member,
  4: string incarnation,
}

// One record of a log; the fence is that of the owner that wrote it.
struct WireRecord {
  1: i64 index,
  2: string kind,
  3: binary payload,
  4: WireFence fence,
  5: bool snapshot,      // stands for all records before it
}

// Every request names the disk that it is meant for, the slot and the fence.
struct Scope {
  1: string replica,
  2: i32 slot,
  3: WireFence fence,
  4: i64 joined_epoch,   // what the disk holds from before this epoch is void
}

struct SealSlot {
  1: Scope scope,
}

struct SlotSealed {
  1: bool accepted,
  2: WireFence promised,
  3: list<string> logs,
  4: list<string> dropped,
}

struct AppendRecords {
  1: Scope scope,
  2: string log,
  3: list<WireRecord> records,
}

struct DropLog {
  1: Scope scope,
  2: string log,
}

// Frees the records before a snapshot that a majority holds.
struct TrimLog {
  1: Scope scope,
  2: string log,
  3: i64 index,
}

// Forgets dropped logs that no replica holds any more.
struct PurgeLogs {
  1: Scope scope,
  2: list<string> logs,
}

struct Acknowledged {
  1: bool accepted,
  2: WireFence promised,
}

struct ReadIndex {
  1: Scope scope,
  2: string log,
}

struct IndexEntry {
  1: i64 index,
  2: WireFence fence,
  3: bool snapshot,
}

struct LogIndexed {
  1: bool accepted,
  2: WireFence promised,
  3: bool dropped,
  4: i64 first,          // index of the trimmed log's snapshot, otherwise 0
  5: list<IndexEntry> entries,
}

// Answered by a stream of LogPage.
struct ReadRecords {
  1: Scope scope,
  2: string log,
  3: list<i64> indexes,
}

struct LogPage {
  1: bool accepted,
  2: WireFence promised,
  3: list<WireRecord> records,
}

struct DescribeDisk {
}

struct DiskDescribed {
  1: string replica,     // member and disk
  2: string zone,
  3: i64 stored_bytes,
  4: i64 logs,
}

struct DescribeSlot {
  1: string replica,
  2: i32 slot,
}

struct SlotDescribed {
  1: WireFence promised,
  2: i64 joined_epoch,
  3: i64 copied_epoch,   // the slot was copied for this epoch's replica sets
  4: i64 copying_steps,  // told last by the owner of the fence promised
}

struct MarkCopied {
  1: Scope scope,
}

// Tells how far the owner's copy for a replica change is; not kept on disk.
struct NoteCopying {
  1: Scope scope,
  2: i64 steps,
}

enum StoredKind {
  RECORD = 1,
  PROMISE = 2,
  DROP = 3,
  TRIM = 4,
  PURGE = 5,
  COPIED = 6,
}

// The head of each entry on disk; a record's payload follows it.
struct StoredHead {
  1: StoredKind what,
  2: i32 slot,
  3: WireFence fence,
  4: string log,
  5: i64 index,
  6: string kind,
  7: bool snapshot,
  8: i64 joined_epoch,
}
