#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Error.h>
#include <LibHTTP/HttpMessage.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Chicorydock {

/// One request of a job.
struct JobItem {
    std::string id;
    /// Path with query.
    QByteArray path;
    HttpHeaders headers;
    QByteArray body;
    /// Tokens of the prompt and most tokens of the output together.
    uint64_t tokens { 0 };

    bool operator==(const JobItem&) const = default;
};

/// A job as its caller submitted it.
struct SubmittedJob {
    std::string jobId;
    std::vector<JobItem> items;

    bool operator==(const SubmittedJob&) const = default;
};

/// What was received of an item that has not ended: its output behind event `fromEventId` up to `lastEventId`.
struct ItemProgress {
    std::string itemId;
    uint64_t fromEventId { 0 };
    uint64_t lastEventId { 0 };
    QByteArray output;

    bool operator==(const ItemProgress&) const = default;
};

/// How an item ended.
struct JobResult {
    std::string itemId;
    /// Whether the item has its whole output; otherwise it was given up.
    bool isCompleted { false };
    /// Data of all events in order, separated by line feeds.
    QByteArray output;

    bool operator==(const JobResult&) const = default;
};

/// Results from one position on.
struct JobResultPage {
    size_t total { 0 };
    size_t next { 0 };
    std::vector<JobResult> results;

    bool operator==(const JobResultPage&) const = default;
};

}
