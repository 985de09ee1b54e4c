@0xe85d6a7714c0b39f;
# The bootstrap capability of a node's RPC port.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Chicorydock::Schema");
using import "Peer.capnp".Peer;
using import "Operator.capnp".Operator;

interface Node {
  peer @0 () -> (peer :Peer);
  operator @1 () -> (operator :Operator);
}
