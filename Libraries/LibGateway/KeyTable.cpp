#include <LibGateway/KeyTable.h>

#include <LibCore/Digest.h>

#include <algorithm>
#include <bit>
#include <utility>

namespace Chicorydock {

namespace {

    /// Number of conflicts that are kept for the log.
    constexpr size_t maxConflicts = 20;

    std::string_view view(const QByteArray& bytes) { return { bytes.data(), static_cast<size_t>(bytes.size()) }; }

    /// Compares all bytes, so that the time does not depend on where they differ.
    bool isEqual(const unsigned char* left, const char* right, size_t count)
    {
        unsigned difference = 0;
        for (size_t n = 0; n < count; ++n)
            difference |= static_cast<unsigned>(left[n]) ^ static_cast<unsigned char>(right[n]);
        return difference == 0;
    }

}

KeyTable::KeyTable(const std::vector<GatewayWorkspace>& workspaces, uint64_t salt)
    : m_salt(salt)
{
    size_t keys = 0;
    for (const GatewayWorkspace& it : workspaces)
        keys += it.keyDigests.size();
    if (keys == 0)
        return;
    m_buckets.resize(std::bit_ceil(keys));
    for (size_t n = 0; n < workspaces.size(); ++n) {
        for (const QByteArray& it : workspaces[n].keyDigests) {
            if (it.size() == sha256Bytes)
                add(it, static_cast<uint32_t>(n), workspaces);
        }
    }
}

void KeyTable::add(const QByteArray& digest, uint32_t workspace, const std::vector<GatewayWorkspace>& workspaces)
{
    if (Entry* known = findEntry(digest)) {
        if (known->workspace == workspace)
            return;
        known->isContested = true;
        recordConflict({ workspaces[known->workspace].limits.name, workspaces[workspace].limits.name });
        return;
    }
    Entry entry { .workspace = workspace };
    std::ranges::copy(digest, entry.digest.begin());
    m_buckets[bucketOf(digest)].push_back(entry);
}

void KeyTable::recordConflict(Conflict conflict)
{
    const bool isKnown = std::ranges::find(m_conflicts, conflict) != m_conflicts.end();
    if (!isKnown && m_conflicts.size() < maxConflicts)
        m_conflicts.push_back(std::move(conflict));
}

size_t KeyTable::bucketOf(const QByteArray& digest) const
{
    return stableHash(view(digest), m_salt) & (m_buckets.size() - 1);
}

KeyTable::Entry* KeyTable::findEntry(const QByteArray& digest)
{
    for (Entry& it : m_buckets[bucketOf(digest)]) {
        if (isEqual(it.digest.data(), digest.data(), digestBytes))
            return &it;
    }
    return nullptr;
}

std::optional<size_t> KeyTable::find(const QByteArray& key) const
{
    if (m_buckets.empty())
        return {};
    const QByteArray digest = sha256(view(key));
    std::optional<size_t> workspace;
    for (const Entry& it : m_buckets[bucketOf(digest)]) {
        if (isEqual(it.digest.data(), digest.data(), digestBytes) && !it.isContested)
            workspace = it.workspace;
    }
    return workspace;
}

}
