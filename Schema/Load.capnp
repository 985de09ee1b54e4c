@0xb3c1f0a7d2e94586;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Chicorydock::Schema");

# The report that a node sends to a peer, in one datagram.
struct LoadReport {
  node @0 :Text;
  failureDomain @1 :Text;
  # Increases with each report of a node; an older report is ignored.
  sequence @2 :UInt64;
  # Number of online requests that are waiting for a slot at the node.
  waiting @3 :UInt32;
  # Whether the node can reach the store. Other nodes take over the jobs of a node that cannot.
  isStoreReachable @4 :Bool;
  isLeaving @5 :Bool;
  uses @6 :List(EndpointUse);
  # Whether the node allocates slots, for itself or for others.
  isCoordinating @7 :Bool;
  # Time within which the peer is sent the next report; 0 if unknown.
  nextWithinMs @8 :UInt32;
  slotReport @9 :SlotReport;
  slotReply @10 :SlotReply;
  # Processor capacity of the node in percent of a core; 0 if unknown.
  capacityPercent @11 :UInt32;
  # Time for which the node has reached the store without interruption; 0 if it does not reach it or does not say.
  storeReachableForMs @12 :UInt32;
  # Version of the configuration in force; 0 if there is none.
  configurationVersion @13 :UInt64;
  # Whether the node reads the configuration from the store for its failure domain.
  isConfigurationSource @14 :Bool;
  suspectParts @15 :List(SuspectPart);
  # Endpoints whose rate is limited, or was until lately.
  rates @16 :List(EndpointRate);
  # Time for which the node has not reached the endpoints, so that it runs nothing itself; 0 if it reaches them.
  endpointsLostForMs @17 :UInt32;
  # Node that the slot message is for. Absent if there is no such message, or if an earlier version sent it. A node that
  # has just started may get messages for its predecessor at the same address.
  recipient @18 :Text;
  # Workspaces with rate limits whose charges have changed a short time ago.
  quotas @19 :List(WorkspaceQuota);
  # Number of nodes for which the node allocates slots; 0 if an earlier version sent the report.
  servedNodes @20 :UInt32;
}

# The requests that the node has charged to the rate limit of a workspace.
struct WorkspaceQuota {
  workspace @0 :UInt64;
  # Charges less those given back since the start of the node; wraps.
  charged @1 :UInt32;
  # Tokens that are left, according to the node; -1 if there are none or if it does not know.
  level @2 :Int32 = -1;
}

# A part of prompts that may crash endpoints.
struct SuspectPart {
  part @0 :Text;
  crashes @1 :List(EndpointCrash);
  # Time since an endpoint answered a request with the part; negative if unknown.
  answeredAgoMs @2 :Int32 = -1;
  # Time since a node sent the latest request that tries whether the part still crashes endpoints; negative if there is
  # none under way.
  trialAgoMs @3 :Int32 = -1;
  # The first in order of the nodes that have a request for such a trial; absent if there is none.
  candidate @4 :Text;
  # Time since the candidate last had the request.
  candidateAgoMs @5 :UInt32;
}

# The crash of an endpoint while it ran a request with the part.
struct EndpointCrash {
  incarnation @0 :UInt64;
  ageMs @1 :UInt32;
}

# The number of slots of one endpoint that the node has allocated.
struct EndpointUse {
  endpoint @0 :UInt32;
  online @1 :UInt16;
  batch @2 :UInt16;
}

# The rate limit of one endpoint, and the requests that the node has sent to it.
struct EndpointRate {
  endpoint @0 :UInt32;
  # Requests per second; infinite if the limit has ended.
  perSecond @1 :Float64;
  # Time since the endpoint stated the limit.
  ageMs @2 :UInt32;
  # Number of requests that the node has sent to the endpoint since its start.
  starts @3 :UInt32;
}

# What is known about work before it runs. Absent if nothing is.
struct WorkProfile {
  # Absent if the work belongs to no workspace.
  workspace @0 :Text;
  promptTokens @1 :UInt32;
  maxOutputTokens @2 :UInt32;
  outputTokensHint @3 :UInt32;
  sharedParts @4 :List(PromptPart);
}

# A part of a prompt that other requests may have too.
struct PromptPart {
  key @0 :UInt32;
  tokens @1 :UInt32;
}

# An online request that waits for a slot. Times are relative to the sending of the message.
struct QueuedRequest {
  work @0 :UInt64;
  service @1 :Text;
  priority @2 :UInt32;
  startInMs @3 :Int32;
  deadlineInMs @4 :Int32;
  isLastAttempt @5 :Bool;
  excluded @6 :List(Text);
  # Version of the endpoints that may run the request; absent for any.
  softwareVersion @7 :Text;
  profile @8 :WorkProfile;
  # Whether an earlier run of the request was charged to the rate limit of its workspace.
  isCharged @9 :Bool;
  # Whether another coordinator had accepted the request.
  isTakenOver @10 :Bool;
}

# An item of a job that waits for a slot.
struct QueuedItem {
  work @0 :UInt64;
  service @1 :Text;
  dueInMs @2 :Int32;
  slotTimeUsedMs @3 :UInt32;
  excluded @4 :List(Text);
  # Version of the endpoints that may run the item; absent for any.
  softwareVersion @5 :Text;
  profile @6 :WorkProfile;
}

# Work that holds a slot.
struct HeldSlot {
  work @0 :UInt64;
  service @1 :Text;
  endpoint @2 :Text;
  isBatch @3 :Bool;
  heldForMs @4 :UInt32;
  dueInMs @5 :Int32;
  slotTimeUsedMs @6 :UInt32;
  profile @7 :WorkProfile;
}

struct FinishedWork {
  work @0 :UInt64;
  outcome @1 :UInt8;
}

struct EndpointLoad {
  endpoint @0 :Text;
  running @1 :UInt32;
  waiting @2 :UInt32;
  workTimePercent @3 :UInt32;
}

# A rate limit that an endpoint stated to a member.
struct StatedRate {
  endpoint @0 :Text;
  # Requests per second; infinite if the endpoint stated that there is no limit.
  perSecond @1 :Float64;
  ageMs @2 :UInt32;
}

# The work of a node, sent to the node that allocates slots for it.
struct SlotReport {
  # Increases with each report of a member; an older report is ignored.
  sequence @0 :UInt64;
  # Sequence of the latest reply that the member has processed.
  acknowledged @1 :UInt64;
  isLeaving @2 :Bool;
  expectsReply @3 :Bool;
  # Work that the coordinator has not acknowledged.
  requests @4 :List(QueuedRequest);
  items @5 :List(QueuedItem);
  slots @6 :List(HeldSlot);
  # All other work.
  queued @7 :List(UInt64);
  running @8 :List(UInt64);
  finished @9 :List(FinishedWork);
  loads @10 :List(EndpointLoad);
  rates @11 :List(StatedRate);
}

# A decision of the coordinator about the work of a member, with the slot use on which it was based.
struct SlotDecision {
  enum Kind {
    start @0;
    refuse @1;
    yield @2;
  }
  kind @0 :Kind;
  work @1 :UInt64;
  endpoint @2 :Text;
  retryAfterMs @3 :UInt32;
  online @4 :UInt32;
  batch @5 :UInt32;
  slotCount @6 :UInt32;
  # Time since the last known change; the maximum if none is known.
  ageMs @7 :UInt32;
  expectedWaitMs @8 :UInt32;
  # Set for refusals only.
  reason @9 :RefusalReason;
  # Expected time for which the work holds its slot. Set for starts only.
  expectedSlotMs @10 :UInt32;
}

enum RefusalReason {
  load @0;
  quota @1;
}

struct SlotReply {
  # Increases with each reply of a coordinator; an older reply is ignored.
  sequence @0 :UInt64;
  # Sequence of the latest report that the coordinator has processed.
  acknowledged @1 :UInt64;
  needsAllWork @2 :Bool;
  # All decisions that the member has not acknowledged.
  decisions @3 :List(SlotDecision);
}
