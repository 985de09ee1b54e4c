#include <LibRequest/CallRecordStore.h>

#include <LibCore/Error.h>

namespace Chicorydock {

namespace {

    constexpr const char* table = "calls";

    // A call of another node may still be answered a little after its deadline, by clocks that differ.
    constexpr Milliseconds deadlineGrace { 2'000 };

    // Time after which to ask again for the answer of a call in progress.
    constexpr Milliseconds progressRetry { 1'000 };

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
    own.token = claim.token;
    own.digest = claim.digest;
    own.isUnrepeatable = claim.isUnrepeatable;
    own.deadlineMs = toUnixMilliseconds(claim.deadline);
    if (const auto permit = tryWrite(rowKey, own, 0))
        return *permit;
    return resolve(claim, rowKey, own);
}

std::variant<CallPermit, HttpResponse> CallRecordStore::resolve(
    const CallClaim& claim, const std::string& rowKey, const CallRecord& own)
{
    const auto row = m_tables.get(table, rowKey);
    if (!row)
        return takeOver(rowKey, own, 0);
    const CallRecord found = CallRecord::fromRow(row->value);
    if (found.digest != claim.digest) {
        throw Error { ErrorKind::KeyReused,
            "the idempotency key '" + claim.key + "' was used for a call with another content" };
    }
    if (found.state == CallRecord::State::Answered && found.answer)
        return *found.answer;
    const bool isOver = m_clock.wallNow() > fromUnixMilliseconds(found.deadlineMs) + deadlineGrace;
    if (found.state == CallRecord::State::Started && !isOver) {
        throw Error { ErrorKind::CallInProgress, "a call with the idempotency key '" + claim.key + "' is in progress",
            progressRetry };
    }
    if (found.isUnrepeatable || claim.isUnrepeatable) {
        throw Error { ErrorKind::MayHaveRun,
            "the call with the idempotency key '" + claim.key + "' was sent before, and its outcome is not known" };
    }
    return takeOver(rowKey, own, row->version);
}

CallPermit CallRecordStore::takeOver(const std::string& rowKey, const CallRecord& own, uint64_t expectedVersion)
{
    if (const auto permit = tryWrite(rowKey, own, expectedVersion))
        return *permit;
    throw Error { ErrorKind::CallInProgress, "another node took the same call at the same time", progressRetry };
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
    if (row && CallRecord::fromRow(row->value).token == own.token)
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
    m_tables.commit({ Operation::remove(table, permit.row, permit.version) });
}

void CallRecordStore::replace(const CallPermit& permit, const CallRecord& record)
{
    // A failed condition means that an earlier try took effect, or that the record was taken over after the deadline.
    m_tables.commit({ Operation::put(table, permit.row, record.toRow(), permit.version) });
}

}
