#include <LibBatch/IndexSet.h>

#include <algorithm>

namespace Chicorydock {

void IndexSet::add(uint32_t index)
{
    // The first range that ends at or after the index is the only one that can contain the index or end directly
    // before it.
    auto it = std::ranges::lower_bound(m_ranges, index, {}, &Range::end);
    if (it == m_ranges.end() || it->first > index + 1) {
        m_ranges.insert(it, { index, index + 1 });
        return;
    }
    it->first = std::min(it->first, index);
    it->end = std::max(it->end, index + 1);
    const auto next = it + 1;
    if (next != m_ranges.end() && next->first == it->end) {
        it->end = next->end;
        m_ranges.erase(next);
    }
}

bool IndexSet::contains(uint32_t index) const
{
    const auto it = std::ranges::upper_bound(m_ranges, index, {}, &Range::end);
    return it != m_ranges.end() && it->first <= index;
}

uint32_t IndexSet::count() const
{
    uint32_t n = 0;
    for (const Range& range : m_ranges)
        n += range.end - range.first;
    return n;
}

IndexSet IndexSet::restrictedTo(uint32_t first, uint32_t end) const
{
    IndexSet result;
    for (const Range& range : m_ranges) {
        const Range part { std::max(range.first, first), std::min(range.end, end) };
        if (part.first < part.end)
            result.m_ranges.push_back(part);
    }
    return result;
}

QJsonArray IndexSet::toJson() const
{
    QJsonArray array;
    for (const Range& range : m_ranges)
        array.append(QJsonArray { static_cast<qint64>(range.first), static_cast<qint64>(range.end) });
    return array;
}

IndexSet IndexSet::fromJson(const QJsonArray& array)
{
    IndexSet set;
    for (const QJsonValue& value : array) {
        const QJsonArray pair = value.toArray();
        set.m_ranges.push_back(
            { static_cast<uint32_t>(pair.at(0).toInteger()), static_cast<uint32_t>(pair.at(1).toInteger()) });
    }
    return set;
}

}
