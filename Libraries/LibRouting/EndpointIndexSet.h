#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Chicorydock {

/// Set of endpoint indexes that gives access to a random member in constant time.
///
/// Thread safety: none.
class EndpointIndexSet {
public:
    bool contains(uint32_t index) const { return index < m_positions.size() && m_positions[index] != absent; }

    /// Returns whether the set changed.
    bool insert(uint32_t index)
    {
        if (contains(index))
            return false;
        if (index >= m_positions.size())
            m_positions.resize(index + 1, absent);
        m_positions[index] = static_cast<uint32_t>(m_members.size());
        m_members.push_back(index);
        return true;
    }

    /// Returns whether the set changed.
    bool erase(uint32_t index)
    {
        if (!contains(index))
            return false;
        const uint32_t position = m_positions[index];
        m_members[position] = m_members.back();
        m_positions[m_members[position]] = position;
        m_members.pop_back();
        m_positions[index] = absent;
        return true;
    }

    /// Inserts or erases the index. Returns whether the set changed.
    bool set(uint32_t index, bool isMember) { return isMember ? insert(index) : erase(index); }

    bool isEmpty() const { return m_members.empty(); }
    size_t size() const { return m_members.size(); }
    uint32_t operator[](size_t position) const { return m_members[position]; }

    std::vector<uint32_t>::const_iterator begin() const { return m_members.begin(); }
    std::vector<uint32_t>::const_iterator end() const { return m_members.end(); }

private:
    static constexpr uint32_t absent = UINT32_MAX;

    std::vector<uint32_t> m_members;
    std::vector<uint32_t> m_positions;
};

}
