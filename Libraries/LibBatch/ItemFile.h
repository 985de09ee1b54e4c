#pragma once

#include <LibBatch/ItemExecutor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorydock {

/// Reads input files of batch jobs: one JSON object per line, `{"custom_id", "method", "url", "body"}`. Blank lines are
/// skipped. Files are parsed in place, so that a large job needs little memory besides its text.
///
/// Thread safety: all functions may be called from any thread.
namespace ItemFile {

    constexpr uint32_t maxItems = 200'000;
    constexpr size_t maxLineBytes = 1024 * 1024;

    /// Summary of a valid input file.
    struct Summary {
        uint32_t items { 0 };
        /// The lines of each chunk, in order. The views point into the checked text.
        std::vector<std::string_view> chunks;
        /// The first distinct paths, at most `JobRecord::maxPaths`.
        std::vector<std::string> paths;
    };

    /// Validates every line. Throws Error(MalformedRequest) with the number of the first invalid line and the reason.
    Summary check(std::string_view text, uint32_t chunkItems);

    /// Parses one line. Only `customId`, `path` and `body` of the result are set. Throws Error(MalformedRequest).
    BatchItem parseLine(std::string_view line);

    /// Returns the lines that are not blank.
    std::vector<std::string_view> lines(std::string_view text);

}

}
