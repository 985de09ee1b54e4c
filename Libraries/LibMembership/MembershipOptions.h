#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <cstdint>

namespace Chicorydock {

/// Times and bounds of the membership protocol. The defaults keep the control traffic of a node below 3 KB/s at 340
/// nodes in 9 failure domains (`chicorydock-bench-control` measures it).
struct MembershipOptions {
    /// Time between two probes of members of the own failure domain.
    Milliseconds probeInterval { 2'000 };
    /// Time that a probed member has to answer, and then once more for the answer through others.
    Milliseconds probeTimeout { 400 };
    Milliseconds indirectProbeTimeout { 600 };
    uint32_t indirectProbes { 3 };
    /// A suspect member has this many probe intervals, times the decimal logarithm of the number of members, to refute.
    double suspicionIntervals { 3 };
    /// Members of other failure domains have longer, because a link between regions fails for seconds at a time.
    double remoteSuspicionFactor { 3 };
    /// Most steps by which failed probes of this node lengthen the suspicion of others: the fault may be its own.
    uint32_t maxHealthPenalty { 3 };

    /// Time between two contacts with members of other failure domains.
    Milliseconds contactInterval { 10'000 };
    /// Time between attempts to reach dead members and seeds, and between attempts while no other member is known.
    Milliseconds reconnectInterval { 10'000 };
    Milliseconds joinInterval { 1'000 };
    /// Time between two comparisons of all members and stable records with one peer.
    Milliseconds syncInterval { 60'000 };
    Milliseconds syncTimeout { 2'000 };

    /// Members of the own domain told at once of a new revision, and the expected number of messages from one domain to
    /// the others about it.
    uint32_t revisionFanOut { 3 };
    uint32_t revisionContactsPerDomain { 12 };
    /// Time without a regular probe after them, because they are probes as well.
    Milliseconds probeDelayAfterRevision { 3'000 };

    /// Urgent news goes directly to every member of the domain, this often at most until it is acknowledged.
    uint32_t urgentAttempts { 5 };
    Milliseconds urgentTimeout { 300 };
    /// Urgent messages in flight. Stays below the number of connections that the link keeps open.
    uint32_t urgentInFlight { 32 };

    /// Bytes of updates and records carried along in one message, and per second.
    size_t gossipBytesPerMessage { 600 };
    double gossipBytesPerSecond { 250 };
    /// An update is sent this many times the binary logarithm of the number of members.
    double retransmissionFactor { 3 };
    /// Transmissions of a record that changes all the time.
    uint32_t volatileTransmissions { 3 };
    size_t maxRecordBytes { 16 * 1024 };
    /// Bytes of members and records in the answer to a sync.
    size_t syncBytes { 256 * 1024 };
    /// Bytes of records in it for a peer that has records already.
    size_t partialSyncBytes { 8 * 1024 };

    /// A gap between two ticks from which on this process counts as paused; nothing that timed out meanwhile counts.
    Milliseconds pauseThreshold { 1'000 };
    /// Time without any answer from which on this node holds back its verdicts on others.
    Milliseconds isolationThreshold { 5'000 };
    /// Time after which dead members are removed, and their largest number.
    Milliseconds deadRetention { 3'600'000 };
    size_t maxDeadMembers { 4'096 };
    size_t maxRecords { 20'000 };
};

}
