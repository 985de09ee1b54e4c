@0xb3c1f0a7d2e94586;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Chicorydock::Schema");

# What a node tells its peers many times a second, in one datagram.
struct LoadReport {
  node @0 :Text;
  failureDomain @1 :Text;
  # Rises with each report of a node; an older report is ignored.
  sequence @2 :UInt64;
  # Online requests that wait for a slot at the node.
  waiting @3 :UInt32;
  # Whether the store answers the node. Jobs of a node without the store go to other nodes.
  isStoreReachable @4 :Bool;
  isLeaving @5 :Bool;
  uses @6 :List(EndpointUse);
}

# The slots of one endpoint that the node uses.
struct EndpointUse {
  endpoint @0 :UInt32;
  online @1 :UInt16;
  batch @2 :UInt16;
}
