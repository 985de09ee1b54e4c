#pragma once

#include <LibBatch/ItemExecutor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorydock {

/// Reads input files of batch jobs: one JSON object a line, `{"custom_id", "method", "url", "body"}`. Empty lines are
/// skipped. Files are read in place, so that a large job needs little memory besides its text.
///
/// Thread safety: all functions may be called from any thread.
namespace ItemFile {

    constexpr uint32_t maxItems = 200'000;
    constexpr size_t maxLineBytes = 1024 * 1024;

    /// What the check of an input file found.
    struct Summary {
        uint32_t items { 0 };
        /// The lines of each chunk, in order; they point into the checked text.
        std::vector<std::string_view> chunks;
        /// The first distinct paths, at most `JobRecord::maxPaths`.
        std::vector<std::string> paths;
    };

    /// Checks every line. Throws Error(MalformedRequest) that names the first bad line and the reason.
    Summary check(std::string_view text, uint32_t chunkItems);

    /// Parses one line; only `customId`, `path` and `body` of the result are set. Throws Error(MalformedRequest).
    BatchItem parseLine(std::string_view line);

    /// Returns the lines that are not empty.
    std::vector<std::string_view> lines(std::string_view text);

}

}
