#pragma once

#include <LibBatch/ItemExecutor.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Chicorydock {

/// Reads and writes result objects. An object has one line per item: its index, a tab and the result line that callers
/// receive.
///
/// Thread safety: all functions may be called from any thread.
namespace SegmentFile {

    /// Result lines by item index.
    using Lines = std::map<uint32_t, std::string>;

    /// Returns the result line of an item: `{"id", "custom_id", "response", "error"}`.
    std::string resultLine(const BatchItem&, const ItemResult&);

    /// Returns the result of an item that ends with an error of this system instead of a response from an endpoint.
    ItemResult errorResult(ErrorKind, const std::string& message);

    /// Returns whether the item counts as completed rather than failed.
    bool isSuccess(const ItemResult&);

    std::string serialize(const Lines&);
    /// Throws Error(Internal) if the text is not a result object.
    Lines parse(std::string_view text);

}

}
