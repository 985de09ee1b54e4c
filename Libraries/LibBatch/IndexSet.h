#pragma once

#include <QJsonArray>

#include <compare>
#include <cstdint>
#include <vector>

namespace Chicorydock {

/// A set of item indices, stored as sorted disjoint ranges because most items of a chunk end with the same outcome.
///
/// Thread safety: none.
class IndexSet {
public:
    /// The half-open range [first, end).
    struct Range {
        uint32_t first { 0 };
        uint32_t end { 0 };

        auto operator<=>(const Range&) const = default;
    };

    void add(uint32_t index);
    bool contains(uint32_t index) const;
    uint32_t count() const;
    bool isEmpty() const { return m_ranges.empty(); }

    /// Returns the members in [first, end).
    IndexSet restrictedTo(uint32_t first, uint32_t end) const;

    const std::vector<Range>& ranges() const { return m_ranges; }

    QJsonArray toJson() const;
    static IndexSet fromJson(const QJsonArray&);

    auto operator<=>(const IndexSet&) const = default;

private:
    std::vector<Range> m_ranges;
};

}
