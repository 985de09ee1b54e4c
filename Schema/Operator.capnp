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
}
