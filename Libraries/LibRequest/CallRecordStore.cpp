#include <LibRequest/CallRecordStore.h>

#include <LibCore/Error.h>

namespace Chicorydock {

namespace {

    constexpr const char* table = "calls";

    // The clocks of nodes differ, so a call of another node may still end shortly after its deadline.
    constexpr Milliseconds deadlineGrace { 2'000 };

    // Sent as Retry-After to resends of a call that is in progress.
    constexpr Milliseconds inProgressRetryAfter { 1'000 };

}

CallRecordStore::CallRecordStore(TableService& tables, const Clock& clock)
    : m_tables(tables)
    , m_clock(clock)
{
}

std::variant<CallPermit, HttpResponse> CallRecordStore::begin(const CallClaim& claim)
{
    const std::string rowKey = claim.workspace + '/' + claim.key;
    CallRecord own;
    own.writeToken = claim.writeToken;
    own.digest = claim.digest;
    own.isUnrepeatable = claim.isUnrepeatable;
    own.deadlineMs = toUnixMilliseconds(claim.deadline);
    if (const auto permit = tryWrite(rowKey, own, 0))
        return *permit;
    return resolveExisting(claim, rowKey, own);
}

std::variant<CallPermit, HttpResponse> CallRecordStore::resolveExisting(
    const CallClaim& claim, const std::string& rowKey, const CallRecord& own)
{
    const auto row = m_tables.get(table, rowKey);
    if (!row)
        return takeOver(rowKey, own, 0);
    const CallRecord existing = CallRecord::fromRow(row->value);
    if (existing.digest != claim.digest) {
        throw Error { ErrorKind::KeyReused,
            "the idempotency key '" + claim.key + "' was used for a call with another content" };
    }
    if (existing.state == CallRecord::State::Answered && existing.answer)
        return *existing.answer;
    const bool hasExpired = m_clock.wallNow() > fromUnixMilliseconds(existing.deadlineMs) + deadlineGrace;
    if (existing.state == CallRecord::State::Started && !hasExpired) {
        throw Error { ErrorKind::CallInProgress, "a call with the idempotency key '" + claim.key + "' is in progress",
            inProgressRetryAfter };
    }
    if (existing.isUnrepeatable || claim.isUnrepeatable) {
        throw Error { ErrorKind::MayHaveRun,
            "the call with the idempotency key '" + claim.key + "' was sent before, and its outcome is not known" };
    }
    return takeOver(rowKey, own, row->version);
}

CallPermit CallRecordStore::takeOver(const std::string& rowKey, const CallRecord& own, uint64_t expectedVersion)
{
    if (const auto permit = tryWrite(rowKey, own, expectedVersion))
        return *permit;
    throw Error { ErrorKind::CallInProgress, "another node took the same call at the same time", inProgressRetryAfter };
}

std::optional<CallPermit> CallRecordStore::tryWrite(
    const std::string& rowKey, const CallRecord& own, uint64_t expectedVersion)
{
    try {
        const CommitResult result = m_tables.commit({ Operation::put(table, rowKey, own.toRow(), expectedVersion) });
        if (!result.committed)
            return {};
        return CallPermit { rowKey, result.versions.at(0), own };
    } catch (const Error& error) {
        if (error.kind() != ErrorKind::OutcomeUnknown)
            throw;
        return readBack(rowKey, own);
    }
}

CallPermit CallRecordStore::readBack(const std::string& rowKey, const CallRecord& own)
{
    const auto row = m_tables.get(table, rowKey);
    if (row && CallRecord::fromRow(row->value).writeToken == own.writeToken)
        return { rowKey, row->version, own };
    throw Error { ErrorKind::PlatformUnavailable,
        "the record of the call could not be written; the call was not sent" };
}

void CallRecordStore::finish(const CallPermit& permit, const HttpResponse& answer)
{
    CallRecord record = permit.record;
    record.state = CallRecord::State::Answered;
    record.answer = answer;
    replace(permit, record);
}

void CallRecordStore::finishAsMayHaveRun(const CallPermit& permit)
{
    CallRecord record = permit.record;
    record.state = CallRecord::State::MayHaveRun;
    replace(permit, record);
}

void CallRecordStore::abandon(const CallPermit& permit)
{
    m_tables.commit({ Operation::remove(table, permit.rowKey, permit.version) });
}

void CallRecordStore::replace(const CallPermit& permit, const CallRecord& record)
{
    // A version conflict means that an earlier attempt took effect, or that another node took the record over after the
    // deadline. Neither is an error.
    m_tables.commit({ Operation::put(table, permit.rowKey, record.toRow(), permit.version) });
}

}
