#include <LibBatch/HeldChunk.h>

#include <LibBatch/ItemFile.h>
#include <LibCore/Error.h>

#include <algorithm>
#include <cassert>

namespace Chicorydock {

void HeldChunk::load(std::string_view inputLines)
{
    const JobRecord& record = m_job->record;
    const ChunkRecord& chunk = m_stored.record;
    const std::vector<std::string_view> lines = ItemFile::lines(inputLines);
    const uint32_t offset = chunk.first / record.chunkItems * record.chunkItems;
    if (chunk.end() - offset > lines.size())
        throw Error(ErrorKind::Internal, "the input of job " + record.id + " has too few lines");
    m_items.clear();
    for (uint32_t index = chunk.first; index < chunk.end(); ++index) {
        if (chunk.hasResult(index))
            continue;
        HeldItem held;
        held.item = ItemFile::parseLine(lines[index - offset]);
        held.item.jobId = record.id;
        held.item.workspace = record.workspace;
        held.item.index = index;
        held.item.unrepeatable = record.unrepeatable;
        held.item.deadline = record.deadline;
        m_items.push_back(std::move(held));
    }
    m_isLoaded = true;
}

HeldItem* HeldChunk::findItem(uint32_t index)
{
    const auto it = std::ranges::lower_bound(m_items, index, {}, [](const HeldItem& held) { return held.item.index; });
    return it == m_items.end() || it->item.index != index ? nullptr : &*it;
}

bool HeldChunk::hasRunningItems() const
{
    return std::ranges::any_of(m_items, [](const HeldItem& held) { return held.state == HeldItem::State::Running; });
}

bool HeldChunk::isEnded() const
{
    return m_isLoaded
        && std::ranges::all_of(m_items, [](const HeldItem& held) { return held.state == HeldItem::State::Ended; });
}

void HeldChunk::prepareCommit(const std::string& writeToken)
{
    assert(!m_pendingCommit && !hasRunningItems());
    ChunkCommit commit;
    commit.record = m_stored.record;
    commit.record.state = isEnded() ? ChunkRecord::State::Done : ChunkRecord::State::Open;
    commit.record.holder.clear();
    commit.record.expires = {};
    commit.record.writeToken = writeToken;
    if (commit.record.lostClaims > 0)
        --commit.record.lostClaims;
    commit.objectName = JobStore::resultObjectName(m_job->record.id, commit.record.first, commit.record.epoch);
    Segment segment { commit.objectName, {}, {} };
    SegmentFile::Lines lines;
    for (const HeldItem& held : m_items) {
        if (held.hasIntent || held.isIntentUncertain)
            commit.intentsToRemove.push_back(held.item.index);
        if (held.state != HeldItem::State::Ended)
            continue;
        (SegmentFile::isSuccess(held.result) ? segment.succeeded : segment.failed).add(held.item.index);
        lines.emplace(held.item.index, SegmentFile::resultLine(held.item, held.result));
    }
    commit.objectContent = SegmentFile::serialize(lines);
    if (lines.empty())
        commit.isObjectStored = true;
    else
        commit.record.segments.push_back(std::move(segment));
    m_pendingCommit = std::move(commit);
}

}
