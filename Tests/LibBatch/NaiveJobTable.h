#pragma once

#include <LibBatch/JobService.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Chicorydock {

/// The job table as one thread without faults would keep it: what callers have been told, and which results each item
/// may have. The differential test compares it with the real one after each step.
class NaiveJobTable {
public:
    struct Job {
        uint32_t total { 0 };
        bool unrepeatable { false };
        /// Whether a caller was told that the job is accepted or cancelled. A call that failed may have taken effect.
        bool isAccepted { false };
        bool isCancelled { false };
        bool mayBeCancelled { false };
        /// The view that the acknowledged cancellation returned.
        JobView cancelledView;
        /// Result lines seen so far; a result never changes.
        std::map<uint32_t, std::string> results;
    };

    /// Items with this remainder fail in every attempt.
    static bool alwaysFails(uint32_t index) { return index % 7 == 3; }

    /// Returns the statuses that the result of an item may have.
    static std::set<int> allowedStatuses(const Job& job, uint32_t index, uint32_t lossesOfHolders)
    {
        std::set<int> statuses { alwaysFails(index) ? 500 : 200 };
        // 502 stands for may_have_run and for an item that was given up after its holders were lost three times.
        if ((job.unrepeatable && lossesOfHolders > 0) || lossesOfHolders >= 3)
            statuses.insert(502);
        return statuses;
    }

    std::map<std::string, Job> jobs;
};

}
