#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <cstdint>

namespace Chicorydock {

/// Times and bounds of the membership protocol. The defaults keep the control traffic of a node below 3 KB/s at 340
/// nodes in 9 failure domains (`chicorydock-bench-control` measures it).
struct MembershipOptions {
    /// Time between two probes of members of the same failure domain.
    Milliseconds probeInterval { 2'000 };
    /// How long a probed member has to reply, first directly and then through other members.
    Milliseconds probeTimeout { 400 };
    Milliseconds indirectProbeTimeout { 600 };
    uint32_t indirectProbes { 3 };
    /// A suspect member has this many probe intervals, times log10 of the number of members, to refute the suspicion.
    double suspicionIntervals { 3 };
    /// Members of other failure domains have more time, because a link between regions may fail for several seconds.
    double remoteSuspicionFactor { 3 };
    /// Limit of the local health penalty, by which failed probes of this node prolong the suspicion of others: the
    /// fault may be its own.
    uint32_t maxHealthPenalty { 3 };

    /// Time between two probes of members of other failure domains.
    Milliseconds remoteProbeInterval { 10'000 };
    /// Time between attempts to reach dead members and seeds, and between attempts while no other member is known.
    Milliseconds reconnectInterval { 10'000 };
    Milliseconds joinInterval { 1'000 };
    /// Time between two comparisons of all members and stable records with one peer.
    Milliseconds syncInterval { 60'000 };
    Milliseconds syncTimeout { 2'000 };

    /// Number of members of the same domain to which a node sends a new revision immediately, and the expected number
    /// of messages about it from one domain to the others.
    uint32_t revisionFanOut { 3 };
    uint32_t revisionMessagesPerDomain { 12 };
    /// How long these messages postpone the next regular probe, because they also serve as probes.
    Milliseconds probeDelayAfterRevision { 3'000 };

    /// Largest number of attempts to send urgent gossip directly to a member of the domain until it is acknowledged.
    uint32_t urgentAttempts { 5 };
    Milliseconds urgentTimeout { 300 };
    /// Largest number of urgent messages in flight. Must be below the number of connections that the link keeps open.
    uint32_t urgentInFlight { 32 };

    /// Bytes of updates and records piggybacked on one message, and per second.
    size_t gossipBytesPerMessage { 600 };
    double gossipBytesPerSecond { 250 };
    /// An update is sent this many times log2 of the number of members.
    double retransmissionFactor { 3 };
    /// Number of transmissions of a volatile record.
    uint32_t volatileTransmissions { 3 };
    size_t maxRecordBytes { 16 * 1024 };
    /// Bytes of members and records in the reply to a sync.
    size_t syncBytes { 256 * 1024 };
    /// Bytes of records in that reply for a peer that already has records.
    size_t partialSyncBytes { 8 * 1024 };

    /// Shortest gap between two ticks that counts as a pause of this process; timeouts during a pause are ignored.
    Milliseconds pauseThreshold { 1'000 };
    /// Time without any reply after which this node counts as isolated and discards the failures it detects.
    Milliseconds isolationThreshold { 5'000 };
    /// Time after which dead members are removed, and the largest number of them that is kept.
    Milliseconds deadRetention { 3'600'000 };
    size_t maxDeadMembers { 4'096 };
    size_t maxRecords { 20'000 };
};

}
