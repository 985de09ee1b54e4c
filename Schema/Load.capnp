@0xb3c1f0a7d2e94586;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Chicorydock::Schema");

# The report that a node sends to its peers many times a second, in one datagram.
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
}

# The number of slots of one endpoint that the node uses.
struct EndpointUse {
  endpoint @0 :UInt32;
  online @1 :UInt16;
  batch @2 :UInt16;
}
