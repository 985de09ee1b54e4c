#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Error.h>
#include <LibGateway/StreamOrigin.h>
#include <LibHTTP/HttpMessage.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// One request of a job.
struct JobItem {
    std::string id;
    /// Path and query.
    QByteArray path;
    HttpHeaders headers;
    QByteArray body;
    /// Tokens of the prompt plus the maximum number of output tokens.
    uint64_t tokens { 0 };

    bool operator==(const JobItem&) const = default;
};

/// A job as submitted by its caller.
struct SubmittedJob {
    std::string jobId;
    std::vector<JobItem> items;
    /// Nothing if the deployment has no workspaces; empty for an anonymous caller.
    std::optional<std::string> workspace {};

    bool operator==(const SubmittedJob&) const = default;
};

/// What has become of an item that is still running: the data of the events after `fromEventId` up to and including
/// `lastEventId`, and its failures.
struct ItemProgress {
    std::string itemId;
    uint64_t fromEventId { 0 };
    uint64_t lastEventId { 0 };
    QByteArray output;
    /// Where all of the item's output comes from. Its service is empty if that is unknown.
    StreamOrigin origin {};
    /// Runs that endpoints reported as failed, at all nodes so far.
    uint32_t failedRuns { 0 };

    bool operator==(const ItemProgress&) const = default;
};

/// The final result of an item.
struct JobResult {
    std::string itemId;
    /// Whether the output is complete. Otherwise the item failed or expired, and `output` is empty.
    bool isCompleted { false };
    /// Data of all events in order, separated by line feeds.
    QByteArray output;

    bool operator==(const JobResult&) const = default;
};

/// Consecutive results of a job.
struct JobResultPage {
    /// Number of items of the job.
    size_t total { 0 };
    /// Position after the last result of this page.
    size_t next { 0 };
    std::vector<JobResult> results;

    bool operator==(const JobResultPage&) const = default;
};

}
