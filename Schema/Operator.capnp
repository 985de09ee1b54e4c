@0xb7c2903de1fa6685;
# The RPC interface for operators. An error is returned as an exception whose description starts with the name of the
# error kind, a colon and a space.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Chicorydock::Schema");
using import "Configuration.capnp".Configuration;
using import "Configuration.capnp".BatchJob;

struct MemberStatus {
  nodeId @0 :Text;
  address @1 :Text;
  region @2 :Text;
  failureDomain @3 :Text;
  incarnation @4 :UInt64;
  state @5 :Text;
}

struct ServiceStatus {
  name @0 :Text;
  onlineQueued @1 :UInt32;
  batchQueued @2 :UInt32;
  onlineInFlight @3 :UInt32;
  batchInFlight @4 :UInt32;
  refused @5 :UInt64;
  yielded @6 :UInt64;
  hedged @7 :UInt64;
}

struct NodeStatus {
  nodeId @0 :Text;
  region @1 :Text;
  failureDomain @2 :Text;
  revision @3 :UInt64;
  ready @4 :Bool;
  stopping @5 :Bool;
  platformReachable @6 :Bool;
  uptimeMs @7 :UInt64;
  members @8 :List(MemberStatus);
  services @9 :List(ServiceStatus);
  claimedChunks @10 :UInt32;
  holdsPlacementLease @11 :Bool;
}

struct EndpointStatus {
  id @0 :Text;
  address @1 :Text;
  service @2 :Text;
  region @3 :Text;
  failureDomain @4 :Text;
  state @5 :Text;
  # "live", "leaving" or "unreachable".
  onlineInFlight @6 :UInt32;
  batchInFlight @7 :UInt32;
  limit @8 :UInt32;
  health @9 :Float64;
  firstTokenMs @10 :Float64;
  tokenGapMs @11 :Float64;
}

struct JobStatus {
  id @0 :Text;
  workspace @1 :Text;
  state @2 :Text;
  # "in_progress", "completed", "cancelling" or "cancelled".
  total @3 :UInt32;
  completed @4 :UInt32;
  failed @5 :UInt32;
  createdMs @6 :Int64;
  deadlineMs @7 :Int64;
}

struct RevisionSummary {
  revision @0 :UInt64;
  author @1 :Text;
  requestId @2 :Text;
  acceptedMs @3 :Int64;
}

struct TimelineEvent {
  wallMs @0 :Int64;
  counter @1 :UInt32;
  node @2 :Text;
  failureDomain @3 :Text;
  subject @4 :Text;
  action @5 :Text;
  id @6 :Text;
  traceId @7 :Text;
  details @8 :Text;
  # A JSON object.
}

struct QuotaView {
  # What is left of the rate limit of a workspace, as far as the node knows.
  workspace @0 :Text;
  requestsPerSecond @1 :Float64;
  burst @2 :Float64;
  level @3 :Float64;
  groupShare @4 :Float64;
  # Part of the nodes that the node is in touch with.
  ownShare @5 :Float64;
  # Part of those for which it allocates slots.
  retryAfterMs @6 :Int64 = -1;
  # -1 if the request would not be refused over the limit.
}

struct EndpointEvaluation {
  endpoint @0 :Text;
  failureDomain @1 :Text;
  obstacle @2 :Text;
  # Why the work does not start there; "none" if it could.
  load @3 :Float64;
  distance @4 :Float64;
  slowness @5 :Float64;
  spread @6 :Float64;
  yield @7 :Float64;
  rateLimit @8 :Float64;
  prompt @9 :Float64;
  # Parts of the cost, in units of the load of an endpoint.
  online @10 :UInt32;
  batch @11 :UInt32;
  slots @12 :UInt32;
  slotsAgeMs @13 :Int64 = -1;
  # Time since the last known change of the slots in use; -1 if none is known.
}

struct ServiceExplanation {
  service @0 :Text;
  weight @1 :UInt32;
  endpoint @2 :Text;
  # Empty if the request or item would wait or be refused.
  refusal @3 :Text;
  # "load" or "quota"; empty if it would not be refused.
  retryAfterMs @4 :Int64;
  ahead @5 :UInt32;
  expectedWaitMs @6 :Int64;
  expectedSlotMs @7 :Int64;
  quota @8 :QuotaView;
  # Absent if the workspace has no rate limit.
  endpoints @9 :List(EndpointEvaluation);
}

struct RequestExplanation {
  node @0 :Text;
  configuration @1 :UInt64;
  refusal @2 :Text;
  # Name of the kind of error; empty if the request would be queued.
  refusalMessage @3 :Text;
  refusalRetryAfterMs @4 :Int64 = -1;
  route @5 :Text;
  prefix @6 :Text;
  otherPrefixes @7 :List(Text);
  workspace @8 :Text;
  # Absent if there are no workspaces, empty for an anonymous caller.
  priority @9 :UInt32;
  items @10 :UInt32;
  coordinator @11 :Text;
  services @12 :List(ServiceExplanation);
}

interface Operator {
  status @0 () -> (status :NodeStatus);
  endpoints @1 () -> (endpoints :List(EndpointStatus));
  apply @2 (configuration :Configuration, expectedRevision :UInt64) -> (revision :UInt64);
  # Replaces the configuration if the revision in force is the expected one; otherwise fails with "conflict" and names
  # the current revision. If a change with the same request id was accepted before, its revision is returned.
  configuration @3 () -> (configuration :Configuration);
  # Returns the configuration in force at the node.
  history @4 (limit :UInt32) -> (revisions :List(RevisionSummary));
  submitJob @5 (job :BatchJob) -> (status :JobStatus);
  jobStatus @6 (id :Text) -> (status :JobStatus);
  jobResults @7 (id :Text, after :UInt32, limit :UInt32) -> (lines :List(Text), next :UInt32, complete :Bool);
  # Returns result lines in the order of items, starting at item index `after`.
  cancelJob @8 (id :Text) -> (status :JobStatus);
  drain @9 (endpoint :Text) -> ();
  # Marks an endpoint as leaving. This cannot be undone.
  timeline @10 (id :Text, limit :UInt32) -> (events :List(TimelineEvent));
  explainRequest @11 (request :Data) -> (explanation :RequestExplanation);
  # Explains where a request of a caller, an HTTP/1.1 message, would go now, without sending it.
}
