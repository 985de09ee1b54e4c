#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Chicorydock {

/// The state of one node. A higher incarnation wins; within an incarnation, the later state of the enumeration wins.
struct MemberUpdate {
    enum class State : uint8_t {
        Alive,
        Suspect,
        /// The member announced that it is stopping; final for the incarnation.
        Leaving,
        /// Declared dead; final for the incarnation.
        Dead,
    };

    std::string nodeId;
    /// `HOST:PORT` of the RPC port.
    std::string address;
    std::string region;
    std::string failureDomain;
    uint64_t incarnation { 0 };
    State state { State::Alive };

    auto operator<=>(const MemberUpdate&) const = default;
};

/// A small piece of soft state that spreads by gossip. The highest version of a key wins.
///
/// Key spaces: `endpoint/ID` (address, service, failure domain, leaving mark), `summary/NODE/SERVICE` (in-flight counts
/// and learned speeds), `head` (the highest known configuration revision).
struct GossipRecord {
    std::string key;
    uint64_t version { 0 };
    std::string value;

    auto operator<=>(const GossipRecord&) const = default;
};

/// A message of the membership protocol. Every message piggybacks updates and records.
struct PeerMessage {
    enum class Kind : uint8_t {
        /// Requests an Ack.
        Ping,
        /// Requests a Ping of `target`, and an Ack if it replied.
        PingRequest,
        Ack,
        /// Requests an Ack with all members; used to join and to merge domains after a partition.
        Sync,
    };

    Kind kind { Kind::Ping };
    MemberUpdate from;
    /// Node id and address to probe, for PingRequest.
    std::string target;
    std::string targetAddress;
    /// Highest configuration revision in force at the sender.
    uint64_t revision { 0 };
    /// Hybrid logical time of the sender.
    int64_t wallMilliseconds { 0 };
    uint32_t counter { 0 };
    std::vector<MemberUpdate> members;
    std::vector<GossipRecord> records;
    /// In a Sync: digest of the sender's members and stable records. A receiver with the same digest sends no lists.
    uint64_t digest { 0 };

    auto operator<=>(const PeerMessage&) const = default;
};

}
