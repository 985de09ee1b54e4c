@0xe85d6a7714c0b39f;
# The capability that a node's RPC port offers first.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Chicorydock::Schema");
using import "Peer.capnp".Peer;
using import "Operator.capnp".Operator;

interface Node {
  peer @0 () -> (peer :Peer);
  operator @1 () -> (operator :Operator);
}
