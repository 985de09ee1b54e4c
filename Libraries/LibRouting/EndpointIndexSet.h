#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Chicorydock {

/// A set of small integers from which a random member can be taken in constant time.
///
/// Thread safety: none.
class EndpointIndexSet {
public:
    bool contains(uint32_t index) const { return index < m_places.size() && m_places[index] != absent; }

    /// Returns whether the set changed.
    bool insert(uint32_t index)
    {
        if (contains(index))
            return false;
        if (index >= m_places.size())
            m_places.resize(index + 1, absent);
        m_places[index] = static_cast<uint32_t>(m_members.size());
        m_members.push_back(index);
        return true;
    }

    /// Returns whether the set changed.
    bool erase(uint32_t index)
    {
        if (!contains(index))
            return false;
        const uint32_t place = m_places[index];
        m_members[place] = m_members.back();
        m_places[m_members[place]] = place;
        m_members.pop_back();
        m_places[index] = absent;
        return true;
    }

    /// Inserts or erases.
    bool set(uint32_t index, bool isMember) { return isMember ? insert(index) : erase(index); }

    bool isEmpty() const { return m_members.empty(); }
    size_t size() const { return m_members.size(); }
    uint32_t operator[](size_t place) const { return m_members[place]; }

    std::vector<uint32_t>::const_iterator begin() const { return m_members.begin(); }
    std::vector<uint32_t>::const_iterator end() const { return m_members.end(); }

private:
    static constexpr uint32_t absent = UINT32_MAX;

    std::vector<uint32_t> m_members;
    std::vector<uint32_t> m_places;
};

}
