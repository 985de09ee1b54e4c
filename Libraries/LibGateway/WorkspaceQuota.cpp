#include <LibGateway/WorkspaceQuota.h>

#include <LibCore/Digest.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Chicorydock {

namespace {

    /// An allocator that has made no decision for this time has missed reports, or its nodes were served by another.
    constexpr Milliseconds maxPause { 1'000 };

    /// Time from a charge until its report has arrived: the pace of the reports, and the transfer between regions.
    constexpr Milliseconds reportDelay { 350 };

    /// Time for which a change is in each report, and after which it is in the reports once more. Reports may be lost
    /// for some of it without leaving a difference.
    constexpr Milliseconds repetitionTime { 450 };
    constexpr Milliseconds secondRepetitionAt { 1'000 };
    constexpr Milliseconds secondRepetitionTime { 300 };

    /// Upper limit of the charges between two reports of one allocator; more is an error.
    constexpr int32_t maxReportedCharges = 1'000'000;

    /// Reported instead of the level by an allocator that has just begun to count, and by a new process.
    constexpr int32_t unknownLevel = -1;
    constexpr int32_t startedLately = -2;

    constexpr double maxReportedLevel = 1e9;

    /// Notices for one workspace are at least this far apart, and this many are given at a time.
    constexpr std::chrono::seconds noticeInterval { 5 };
    constexpr size_t maxNotices = 4;

    bool isLimited(const WorkspaceLimits& limits)
    {
        return std::isfinite(limits.requestsPerSecond) && limits.requestsPerSecond > 0;
    }

    WorkspaceLimits checked(WorkspaceLimits limits)
    {
        if (!std::isfinite(limits.burst) || limits.burst < 0)
            limits.burst = 0;
        return limits;
    }

}

WorkspaceQuota::WorkspaceQuota(Random& random)
    : m_random(random)
{
}

uint64_t WorkspaceQuota::key(const std::string& workspace) { return stableHash(workspace); }

bool WorkspaceQuota::isStarting(MonotonicTime now) const { return now - m_startedAt < m_bounds.window; }

void WorkspaceQuota::setBounds(const QuotaBounds& bounds) { m_bounds = bounds; }

void WorkspaceQuota::setWorkspaces(const std::vector<WorkspaceLimits>& workspaces)
{
    const MonotonicTime now = m_updatedAt;
    std::unordered_map<std::string, Entry> before = std::exchange(m_buckets, {});
    m_names.clear();
    for (const WorkspaceLimits& it : workspaces) {
        if (!isLimited(it) || it.name.empty())
            continue;
        const WorkspaceLimits limits = checked(it);
        auto known = before.extract(it.name);
        if (!known.empty()) {
            known.mapped().bucket.setLimits(limits, m_bounds, now);
            m_buckets.insert(std::move(known));
        } else {
            Entry entry { QuotaBucket(limits, m_bounds, m_shares, false, m_random.unit(), now), key(it.name) };
            // While this allocator starts, others may have charged the workspace before.
            if (m_isStarted && !isStarting(now))
                entry.bucket.fill();
            m_buckets.insert_or_assign(it.name, std::move(entry));
        }
        m_names[key(it.name)] = it.name;
    }
}

void WorkspaceQuota::restart(MonotonicTime now)
{
    const bool isReturning = m_isStarted && now - m_firstStartedAt > m_bounds.window;
    m_firstStartedAt = m_isStarted ? m_firstStartedAt : now;
    m_isStarted = true;
    m_startedAt = now;
    m_heardUntil = now;
    m_returned.clear();
    m_group.reset();
    m_group.update(now);
    m_shares = { m_group.fraction(), m_group.ownShare(), true };
    m_syncedUntil = now - reportDelay;
    for (auto& [name, entry] : m_buckets) {
        QuotaBucket bucket(entry.bucket.limits(), m_bounds, m_shares, isReturning, m_random.unit(), now);
        bucket.continueCount(entry.bucket);
        entry.bucket = std::move(bucket);
        entry.reported.clear();
    }
}

void WorkspaceQuota::update(MonotonicTime now)
{
    if (!hasLimits()) {
        m_updatedAt = now;
        return;
    }
    if (!m_isStarted || now - m_updatedAt > maxPause)
        restart(now);
    m_updatedAt = now;
    for (const std::string& it : m_group.update(now))
        forgetReports(it);
    updateShares(now);
}

void WorkspaceQuota::updateShares(MonotonicTime now)
{
    const MonotonicTime heardUntil = m_group.heardUntil(now);
    const QuotaShares shares { m_group.fraction(), m_group.ownShare(), isStarting(now) };
    m_syncedUntil = heardUntil - reportDelay;
    // What an allocator that has fallen silent charged since then is not known.
    const auto silentFor = std::chrono::duration_cast<Milliseconds>(now - m_heardUntil);
    m_heardUntil = heardUntil;
    if (std::exchange(m_shares, shares) == shares)
        return;
    for (auto& [name, entry] : m_buckets)
        entry.bucket.setShares(shares, silentFor, now);
}

WorkspaceQuota::Entry* WorkspaceQuota::find(const std::string& workspace)
{
    const auto it = workspace.empty() ? m_buckets.end() : m_buckets.find(workspace);
    return it == m_buckets.end() ? nullptr : &it->second;
}

std::optional<Milliseconds> WorkspaceQuota::charge(
    uint64_t work, const std::string& workspace, bool isAccepted, MonotonicTime now)
{
    Entry* entry = find(workspace);
    if (!entry)
        return std::nullopt;
    update(now);
    if (isAccepted) {
        entry->bucket.chargeAccepted(now);
    } else if (const auto retryAfter = entry->bucket.charge(m_syncedUntil, now)) {
        ++m_totals.refused;
        ++entry->refused;
        m_refused.insert(workspace);
        return retryAfter;
    }
    ++m_totals.charged;
    m_queued[work] = { workspace, now };
    recordChange(workspace, *entry);
    return std::nullopt;
}

std::optional<QuotaView> WorkspaceQuota::view(const std::string& workspace, MonotonicTime now) const
{
    const auto it = m_buckets.find(workspace);
    if (it == m_buckets.end())
        return std::nullopt;
    QuotaBucket bucket = it->second.bucket;
    return QuotaView { bucket.limits(), bucket.level(now), m_shares.group, m_shares.own,
        bucket.charge(m_syncedUntil, now) };
}

void WorkspaceQuota::refund(uint64_t work)
{
    const auto charged = m_queued.extract(work);
    Entry* entry = charged.empty() ? nullptr : find(charged.mapped().workspace);
    if (!entry)
        return;
    // The bucket knows nothing of charges from before a pause. The others have drawn them.
    entry->bucket.refund(charged.mapped().at >= m_startedAt, m_updatedAt);
    ++m_totals.refunded;
    recordChange(charged.mapped().workspace, *entry);
}

void WorkspaceQuota::recordChange(const std::string& workspace, Entry& entry)
{
    ++m_version;
    if (!std::exchange(entry.isListed, true))
        m_changed.push_back(workspace);
}

void WorkspaceQuota::receive(const std::string& allocator, uint32_t nodes, Milliseconds lifetime,
    const ReportedQuotas& quotas, MonotonicTime now)
{
    if (!hasLimits())
        return;
    const bool isKnown = m_group.knows(allocator);
    if (m_group.hear(allocator, nodes, lifetime, now)) {
        // What it charged while it was not heard came from its own part of the tokens.
        forgetReports(allocator);
        if (isKnown)
            m_returned.insert(allocator);
    }
    for (const auto& [key, quota] : quotas) {
        const auto name = m_names.find(key);
        if (name != m_names.end())
            applyReport(allocator, m_buckets.at(name->second), quota, now);
    }
}

void WorkspaceQuota::applyReport(
    const std::string& allocator, Entry& entry, const ReportedQuota& quota, MonotonicTime now)
{
    // All charges of a process that has just started are recent. Of others it is unknown when they were.
    const bool isFirst = quota.level == startedLately && !m_returned.contains(allocator);
    const uint32_t first = isFirst ? 0 : quota.charged;
    const auto known = entry.reported.try_emplace(allocator, first).first;
    const auto delta = static_cast<int32_t>(quota.charged - std::exchange(known->second, quota.charged));
    if (delta > maxReportedCharges || delta < -maxReportedCharges)
        return;
    if (isStarting(now) && quota.level >= 0)
        entry.bucket.adopt(quota.level, now);
    if (delta != 0)
        entry.bucket.drawReported(delta, now);
}

void WorkspaceQuota::removeAllocator(const std::string& allocator)
{
    if (m_group.remove(allocator))
        forgetReports(allocator);
}

void WorkspaceQuota::forgetReports(const std::string& allocator)
{
    m_returned.erase(allocator);
    for (auto& [name, entry] : m_buckets)
        entry.reported.erase(allocator);
}

ReportedQuotas WorkspaceQuota::report(MonotonicTime now)
{
    ReportedQuotas quotas;
    const bool knowsLevel = m_isStarted && !isStarting(now);
    const int32_t unknown = now - m_firstStartedAt < m_bounds.window ? startedLately : unknownLevel;
    std::erase_if(m_changed, [&](const std::string& name) {
        Entry* entry = find(name);
        if (!entry)
            return true;
        const auto age = now - entry->bucket.changedAt();
        if (age > secondRepetitionAt + secondRepetitionTime) {
            entry->isListed = false;
            return true;
        }
        if (age <= repetitionTime || age >= secondRepetitionAt) {
            const double level = std::clamp(entry->bucket.level(now), -1.0, maxReportedLevel);
            quotas[entry->key]
                = { entry->bucket.charged(), knowsLevel ? static_cast<int32_t>(std::floor(level)) : unknown };
        }
        return false;
    });
    return quotas;
}

std::vector<QuotaNotice> WorkspaceQuota::takeNotices(MonotonicTime now)
{
    std::vector<QuotaNotice> notices;
    for (auto it = m_refused.begin(); it != m_refused.end() && notices.size() < maxNotices;) {
        Entry* entry = find(*it);
        const bool isDue = entry && (entry->noticedAt == MonotonicTime {} || now - entry->noticedAt >= noticeInterval);
        if (entry && !isDue) {
            ++it;
            continue;
        }
        if (entry) {
            entry->noticedAt = now;
            notices.push_back({ *it, entry->bucket.limits(), std::exchange(entry->refused, 0), entry->bucket.level(now),
                m_group.nodesInTouch(), m_group.nodesKnown() });
        }
        it = m_refused.erase(it);
    }
    return notices;
}

}
