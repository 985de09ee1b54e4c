@0xa4be1f0c7d5523e9;
# Messages between nodes.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Chicorydock::Schema");

struct MemberUpdate {
  nodeId @0 :Text;
  address @1 :Text;
  region @2 :Text;
  failureDomain @3 :Text;
  incarnation @4 :UInt64;
  state @5 :State;

  enum State {
    alive @0;
    suspect @1;
    leaving @2;
    dead @3;
  }
}

struct GossipRecord {
  key @0 :Text;
  version @1 :UInt64;
  value @2 :Data;
}

struct PeerMessage {
  kind @0 :Kind;
  from @1 :MemberUpdate;
  target @2 :Text;
  targetAddress @3 :Text;
  revision @4 :UInt64;
  wallMilliseconds @5 :Int64;
  counter @6 :UInt32;
  members @7 :List(MemberUpdate);
  records @8 :List(GossipRecord);
  digest @9 :UInt64;
  # Digest of the sender's members and stable records, in a sync message. A receiver with an equal digest sends a short
  # reply.

  enum Kind {
    ping @0;
    pingRequest @1;
    ack @2;
    sync @3;
  }
}

interface Peer {
  exchange @0 (message :PeerMessage) -> (reply :PeerMessage);
  # Delivers a membership message; the reply is an ack.
  fetchRevision @1 (revision :UInt64, held :UInt64) -> (found :Bool, document :Data);
  # Returns the document of a configuration revision, a packed ConfigurationDocument message. `held` is the revision
  # that the caller has (0 if none); the document may be a delta to it.
  yieldBatch @2 (service :Text, endpoint :Text) -> ();
  # Asks the node to cancel its batch work on an endpoint, because online work is waiting at the sender.
}
