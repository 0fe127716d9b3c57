# The messages between daemons. Each struct becomes a frozen dataclass in
# _generated/messages.py; run `make generate` after a change.
@0xd6b3f1a2c4e59781;

struct Header {
  name @0 :Text;
  value @1 :Text;
}

# Asks the other end of a link for a Pong with the same number.
struct Ping {
  number @0 :UInt64;
}

struct Pong {
  number @0 :UInt64;
}

# The first message on a link, in both directions.
struct Hello {
  daemon @0 :Text;
  incarnation @1 :UInt64;
  dataCentre @2 :Text;
  # Where the sender itself listens, so that it can be linked back to.
  region @3 :Text;
  peerAddress @4 :Text;
}

# A request on its way from the entry to the dispatcher of its target, or
# to the issuer of its ticket. The deadline is relative to the arrival.
struct Submit {
  number @0 :UInt64;
  requestId @1 :Text;
  service @2 :Text;
  target @3 :Text;
  customer @4 :Text;
  key @5 :Text;
  method @6 :Text;
  path @7 :Text;
  headers @8 :List(Header);
  body @9 :Data;
  deadlineMs @10 :UInt32;
  repeatable @11 :Bool;
  ticket @12 :Text;
  hops @13 :UInt8;
}

# The whole answer to one Submit. `kind` is empty where the target answered.
struct SubmitAnswer {
  number @0 :UInt64;
  kind @1 :Text;
  detail @2 :Text;
  status @3 :UInt16;
  headers @4 :List(Header);
  body @5 :Data;
}

# The caller of a Submit no longer waits for its answer.
struct Cancel {
  number @0 :UInt64;
}

# One member as another member knows it.
struct Member {
  daemon @0 :Text;
  incarnation @1 :UInt64;
  dataCentre @2 :Text;
  region @3 :Text;
  peerAddress @4 :Text;
  leaving @5 :Bool;
  # Hearsay that the member is lost. The member refutes it by a higher number.
  suspected @6 :Bool;
  refutation @7 :UInt32;
}

struct Heartbeat {
  daemon @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  leaving @3 :Bool;
  # Digest of the sender's member table.
  digest @4 :UInt64;
  # The next heartbeat follows after this interval.
  intervalMs @5 :UInt32;
  # Digest of the versions of the sender's documents.
  documents @6 :UInt64;
}

# News of members, which each receiver passes on to a few others once.
struct Gossip {
  members @0 :List(Member);
}

# One digest of 8 bytes for each bucket of the sender's member table. The
# answer is the members of the buckets that differ.
struct MemberDigests {
  buckets @0 :Data;
  # Whether the receiver should answer with its own digests as well.
  reply @1 :Bool;
}

# Members as the sender knows them; they are not passed on.
struct Members {
  members @0 :List(Member);
}

# The versions that the sender holds; asks for nothing by itself.
struct Versions {
  documents @0 :List(DocumentVersion);
  reply @1 :Bool;
}

struct DocumentVersion {
  name @0 :Text;
  version @1 :UInt64;
  # Whether the store has confirmed the version as its newest of late, and
  # how long ago; passed on by those who only heard of it.
  confirmed @2 :Bool;
  confirmedAgeMs @3 :UInt32;
}

# Asks for one part of the patch from the known version to the newest one.
struct FetchDocument {
  name @0 :Text;
  knownVersion @1 :UInt64;
  # The version that earlier parts belong to, or 0 for the newest.
  version @2 :UInt64;
  offset @3 :UInt32;
}

# A slice of an encoded DocumentPatch. A base version of 0 stands for nothing.
struct DocumentPart {
  name @0 :Text;
  version @1 :UInt64;
  baseVersion @2 :UInt64;
  patchBytes @3 :UInt32;
  offset @4 :UInt32;
  content @5 :Data;
}

# What turns one version of a document into another: the head and the chunks
# that are new, each compressed with what it replaces as the dictionary.
struct DocumentPatch {
  head @0 :Data;
  chunks @1 :List(ChunkPatch);
  # The store's revision of the head.
  revision @2 :UInt64;
}

struct ChunkPatch {
  # The digest of the chunk that is the dictionary, or empty.
  base @0 :Text;
  content @1 :Data;
}

struct OwnedRange {
  start @0 :UInt64;
  # The last hash in the range, inclusive, so that it fits 64 bits.
  last @1 :UInt64;
  target @2 :Text;
}

# The stored assignment of one service: every range and its owner.
struct Assignment {
  service @0 :Text;
  ranges @1 :List(OwnedRange);
}

# What one dispatcher saw of its targets since its last report.
struct LoadReport {
  service @0 :Text;
  ranges @1 :List(RangeLoad);
}

struct RangeLoad {
  start @0 :UInt64;
  last @1 :UInt64;
  requests @2 :UInt32;
  busyMs @3 :UInt32;
  # The busiest single key of the range and its requests.
  hotKey @4 :UInt64;
  hotRequests @5 :UInt32;
}

# A daemon that leaves hands the scope of a lease manager over.
struct HandOver {
  service @0 :Text;
  dataCentre @1 :Text;
}

# Grants to the daemon that guards a target without fencing. They have the
# meaning of the target API's calls of the same names.
struct GuardSeal {
  number @0 :UInt64;
  service @1 :Text;
  target @2 :Text;
  term @3 :UInt64;
}

struct GuardGrant {
  number @0 :UInt64;
  service @1 :Text;
  target @2 :Text;
  term @3 :UInt64;
  sequence @4 :UInt64;
  clockMs @5 :UInt64;
  lifetimeMs @6 :UInt32;
  ranges @7 :List(OwnedRange);
  # False for a renewal, which leaves the ranges as they are.
  replaces @8 :Bool;
}

struct GuardAnswer {
  number @0 :UInt64;
  accepted @1 :Bool;
  term @2 :UInt64;
  sequence @3 :UInt64;
  clockMs @4 :UInt64;
  ranges @5 :List(OwnedRange);
  busy @6 :UInt32;
}

# A proposal of the planner to the lease manager of the ranges' owner.
struct MergeRanges {
  service @0 :Text;
  start @1 :UInt64;
  last @2 :UInt64;
}

# An operator's order, or the planner's proposal, to the lease manager of the
# range's owner.
struct MoveRange {
  service @0 :Text;
  start @1 :UInt64;
  last @2 :UInt64;
  target @3 :Text;
}

# An operator's order to every daemon, whose lease managers heed it.
struct DrainTarget {
  target @0 :Text;
  draining @1 :Bool;
}

# Requests after which targets died; every daemon merges them.
struct Suspects {
  suspects @0 :List(SuspectRequest);
}

struct SuspectRequest {
  fingerprint @0 :Data;
  deaths @1 :List(Death);
  remainingMs @2 :UInt32;
}

struct Death {
  name @0 :Text;
}

# Asks the coordinator of a service for a slot of a target. `key` is above
# 65535 where the request has none. Times count from the arrival.
struct Ask {
  number @0 :UInt64;
  service @1 :Text;
  attemptId @2 :Text;
  route @3 :Text;
  rank @4 :UInt32;
  key @5 :UInt32;
  dataCentre @6 :Text;
  dueMs @7 :UInt32;
  expiresMs @8 :UInt32;
  returned @9 :Bool;
  excluded @10 :List(TargetRef);
  fingerprint @11 :Data;
  sends @12 :UInt32;
  # What the request shows of its cost; 0 where nothing is known.
  costClass @13 :UInt32;
  # How long this send has waited for a slot, also at an earlier coordinator.
  waitedMs @14 :UInt32;
}

struct TargetRef {
  target @0 :Text;
}

# The answer to an Ask. `refusal` is empty where a slot is granted; it is held
# until the Done with the same number.
struct Permit {
  number @0 :UInt64;
  target @1 :Text;
  startedAtMs @2 :UInt64;
  address @3 :Text;
  refusal @4 :Text;
  retryAfterMs @5 :UInt32;
  # How many gateways ask this coordinator.
  gateways @6 :UInt32;
  # How long the request waited for the slot; 0 if unknown, else 1 ms more.
  waitedMs @7 :UInt32;
  # Whether the coordinator counted the request against the rate of a cold
  # target.
  isForCold @8 :Bool;
}

# How the request of a granted Ask ended.
struct Done {
  number @0 :UInt64;
  outcome @1 :Text;
  # Bytes of the request and the response, 0 without one.
  payloadBytes @2 :UInt32;
  # The target's rate limit in requests per second as a decimal number, "none"
  # where its response has none, and empty without a usable response.
  rateLimit @3 :Text;
  # The target's load report; all 0 without one.
  loadRunning @4 :UInt32;
  loadWaiting @5 :UInt32;
  loadSlots @6 :UInt32;
  # In per cent of the usual time; 0 where the target does not say.
  loadSlowdown @7 :UInt32;
}

# Tells a new coordinator of a service the rate limits that the sender knows.
struct TargetLimits {
  service @0 :Text;
  limits @1 :List(TargetLimit);
}

struct TargetLimit {
  target @0 :Text;
  startedAtMs @1 :UInt64;
  # Requests per second as a decimal number.
  rateLimit @2 :Text;
  # How long ago the target stated it.
  ageMs @3 :UInt32;
}

# Tells an earlier coordinator of a service that the sender has replaced it; it
# answers with a Pong of the same number once it gives no more orders.
struct StandDown {
  number @0 :UInt64;
  service @1 :Text;
  epoch @2 :UInt64;
}

# Asks a peer for what it has read from the store, while the store is away.
struct FetchItems {
  number @0 :UInt64;
  # Only targets of a higher revision.
  after @1 :UInt64;
  # Only a configuration of a higher revision, and such coordinators.
  configAfter @2 :UInt64;
  coordinatorsAfter @3 :UInt64;
  # How long the peer may wait for one of these two to change, or for a target to
  # leave.
  waitMs @4 :UInt32;
  # Processor cores of the sender, in thousandths.
  milliCores @5 :UInt32;
}

# What a peer has read from the store, with the revision of each item.
struct StoredItems {
  number @0 :UInt64;
  items @1 :List(StoredItem);
  # Up to which revision the peer knows all targets from the store itself; 0
  # where it does not reach the store.
  completeTo @2 :UInt64;
  # The same for the configuration and the coordinators.
  configCompleteTo @3 :UInt64;
  coordinatorsCompleteTo @4 :UInt64;
  # The most processor cores of any known gateway, in thousandths.
  milliCores @5 :UInt32;
  # Some gateways that the peer knows, at random.
  members @6 :List(GatewayRef);
}

struct GatewayRef {
  name @0 :Text;
  address @1 :Text;
  incarnation @2 :UInt64;
}

struct StoredItem {
  key @0 :Text;
  content @1 :Data;
  revision @2 :UInt64;
}

# Asks the coordinator of a service where a request would go now; nothing is
# sent. A gateway of an earlier version closes the link at this message, so it
# goes on a link of its own.
struct Explain {
  number @0 :UInt64;
  service @1 :Text;
  route @2 :Text;
  rank @3 :UInt32;
  # As in Ask.
  key @4 :UInt32;
  dataCentre @5 :Text;
  dueMs @6 :UInt32;
  expiresMs @7 :UInt32;
  costClass @8 :UInt32;
}

# The answer to an Explain.
struct Explained {
  number @0 :UInt64;
  # A JSON object; without an explanation it has the field "problem".
  content @1 :Data;
}

struct Envelope {
  union {
    hello @0 :Hello;
    submit @1 :Submit;
    submitAnswer @2 :SubmitAnswer;
    cancel @3 :Cancel;
    heartbeat @4 :Heartbeat;
    versions @5 :Versions;
    fetchDocument @6 :FetchDocument;
    loadReport @7 :LoadReport;
    handOver @8 :HandOver;
    guardSeal @9 :GuardSeal;
    guardGrant @10 :GuardGrant;
    guardAnswer @11 :GuardAnswer;
    ping @12 :Ping;
    pong @13 :Pong;
    gossip @14 :Gossip;
    memberDigests @15 :MemberDigests;
    members @16 :Members;
    documentPart @17 :DocumentPart;
    documentPatch @18 :DocumentPatch;
    moveRange @19 :MoveRange;
    drainTarget @20 :DrainTarget;
    suspects @21 :Suspects;
    mergeRanges @22 :MergeRanges;
    ask @23 :Ask;
    permit @24 :Permit;
    done @25 :Done;
    fetchItems @26 :FetchItems;
    storedItems @27 :StoredItems;
    standDown @28 :StandDown;
    targetLimits @29 :TargetLimits;
    explain @30 :Explain;
    explained @31 :Explained;
  }
}
