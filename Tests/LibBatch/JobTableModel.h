#pragma once

#include <LibBatch/JobService.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Chicorydock {

/// Reference model of the job table, as a single thread without faults would maintain it: which calls were
/// acknowledged, and which results each item may have. The differential test compares it with the real job table after
/// each step.
class JobTableModel {
public:
    struct Job {
        uint32_t total { 0 };
        bool unrepeatable { false };
        /// Whether the submission or cancellation was acknowledged. A call that failed may have taken effect.
        bool isAccepted { false };
        bool isCancelled { false };
        bool mayBeCancelled { false };
        /// The view that the acknowledged cancellation returned.
        JobView cancelledView;
        /// Result lines observed so far. A result never changes.
        std::map<uint32_t, std::string> results;
    };

    /// Returns whether every attempt of the item fails.
    static bool alwaysFails(uint32_t index) { return index % 7 == 3; }

    /// Returns the HTTP statuses that the result of an item may have.
    static std::set<int> allowedStatuses(const Job& job, uint32_t index, uint32_t holderLosses)
    {
        std::set<int> statuses { alwaysFails(index) ? 500 : 200 };
        // 502 is the status of may_have_run and of an item that ended as failed after three holders were lost.
        if ((job.unrepeatable && holderLosses > 0) || holderLosses >= 3)
            statuses.insert(502);
        return statuses;
    }

    std::map<std::string, Job> jobs;
};

}
