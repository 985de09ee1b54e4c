#include <LibGateway/FeedServer.h>

#include <LibGateway/RowPageFormat.h>

#include <algorithm>
#include <utility>

namespace Chicorydock {

namespace {

    /// Age of a copy above which it is of no use to another node, which then asks the store.
    constexpr Milliseconds maxServedAge { 8'000 };

    /// Limit on the answers with changes within the wait of a call, for a table that changes all the time.
    constexpr int pushesPerWait = 6;

}

FeedServer::FeedServer(const Clock& clock, FindCopy findCopy, Refresh refresh)
    : m_clock(clock)
    , m_findCopy(std::move(findCopy))
    , m_refresh(std::move(refresh))
{
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, &FeedServer::processDue);
}

FeedServer::~FeedServer() { *m_lifetime = false; }

void FeedServer::handle(std::shared_ptr<HttpExchange> exchange)
{
    const auto request = decodeFeedQuery(exchange->request().query);
    const TableCopy* copy = request ? m_findCopy(request->table) : nullptr;
    if (!copy || m_isStopped) {
        exchange->answer({ .status = copy ? 503 : 404 });
        return;
    }
    Calls& calls = m_calls[request->table];
    Held held { *request, std::move(exchange), m_clock.now() + request->wait };
    if (request->after && request->wait.count() == 0)
        refresh(request->table, std::move(held));
    else if (!tryAnswer(calls, held, false))
        hold(calls, std::move(held));
}

void FeedServer::hold(Calls& calls, Held held)
{
    scheduleDue(held.expiresAt);
    calls.held.push_back(std::move(held));
}

void FeedServer::refresh(const std::string& table, Held held)
{
    Calls& calls = m_calls[table];
    calls.refreshing.push_back(std::move(held));
    if (calls.refreshing.size() > 1)
        return;
    m_refresh(table, [this, table, lifetime = m_lifetime](bool isCurrent) {
        if (!*lifetime)
            return;
        Calls& refreshed = m_calls[table];
        for (const Held& it : std::exchange(refreshed.refreshing, {})) {
            if (!isCurrent || !tryAnswer(refreshed, it, true))
                refuse(it, 503);
        }
    });
}

void FeedServer::update(const std::string& table)
{
    const auto found = m_calls.find(table);
    if (found == m_calls.end())
        return;
    Calls& calls = found->second;
    calls.bodies.clear();
    answerHeld(calls, true);
}

bool FeedServer::isUsable(const TableCopy& copy, const FeedRequest& request) const
{
    const auto confirmedAt = copy.confirmedAt();
    return confirmedAt && m_clock.now() - *confirmedAt <= maxServedAge && copy.version() >= request.minVersion
        && copy.version() >= request.after.value_or(0);
}

bool FeedServer::tryAnswer(Calls& calls, const Held& held, bool isConfirmed)
{
    const TableCopy& copy = *m_findCopy(held.request.table);
    if (held.exchange->isCallerDisconnected())
        return true;
    if (!isUsable(copy, held.request))
        return false;
    if (held.request.after)
        return tryAnswerChanges(calls, held, copy, isConfirmed);
    answer(calls, held, copy);
    return true;
}

bool FeedServer::tryAnswerChanges(Calls& calls, const Held& held, const TableCopy& copy, bool isConfirmed)
{
    const auto hasChanges = copy.hasChangesAfter(*held.request.after);
    if (!hasChanges) {
        refuse(held, 410);
        return true;
    }
    const MonotonicTime now = m_clock.now();
    if (!*hasChanges && !isConfirmed && now < held.expiresAt)
        return false;
    const MonotonicTime pushAt = calls.pushedAt + std::max(minPushInterval, held.request.wait / pushesPerWait);
    // A node that asks without waiting has no other way to the changes.
    const bool isPaced = held.request.wait.count() > 0;
    if (*hasChanges && isPaced && now < pushAt) {
        scheduleDue(pushAt);
        return false;
    }
    m_hasSentChanges = m_hasSentChanges || *hasChanges;
    answer(calls, held, copy);
    return true;
}

void FeedServer::answer(Calls& calls, const Held& held, const TableCopy& copy)
{
    if (std::exchange(calls.bodiesVersion, copy.version()) != copy.version())
        calls.bodies.clear();
    const auto after = held.request.after;
    QByteArray& body = calls.bodies[after];
    if (body.isEmpty())
        body = encodeRowPage(after ? copy.changesAfter(*after).value_or(RowPage {}) : copy.rows());
    const auto age = std::chrono::ceil<Milliseconds>(m_clock.now() - *copy.confirmedAt());
    m_sentBytes += static_cast<uint64_t>(body.size());
    held.exchange->answer({ .status = 200,
        .headers = { { "Content-Type", "application/octet-stream" },
            { viewAgeField, QByteArray::number(static_cast<qlonglong>(age.count())) } },
        .body = body });
}

void FeedServer::refuse(const Held& held, int status) const { held.exchange->answer({ .status = status }); }

void FeedServer::processDue()
{
    m_dueAt = {};
    for (auto& [table, calls] : m_calls)
        answerHeld(calls, false);
}

void FeedServer::answerHeld(Calls& calls, bool isConfirmed)
{
    const MonotonicTime now = m_clock.now();
    m_hasSentChanges = false;
    for (Held& it : std::exchange(calls.held, {})) {
        if (tryAnswer(calls, it, isConfirmed))
            continue;
        if (now >= it.expiresAt)
            refuse(it, 503);
        else
            hold(calls, std::move(it));
    }
    if (m_hasSentChanges)
        calls.pushedAt = now;
}

void FeedServer::scheduleDue(MonotonicTime time)
{
    if (m_timer.isActive() && m_dueAt <= time)
        return;
    m_dueAt = time;
    m_timer.start(std::max(Milliseconds { 1 }, std::chrono::ceil<Milliseconds>(time - m_clock.now())));
}

void FeedServer::stop()
{
    m_isStopped = true;
    for (auto& [table, calls] : m_calls) {
        for (const Held& it : std::exchange(calls.held, {}))
            refuse(it, 503);
    }
}

}
