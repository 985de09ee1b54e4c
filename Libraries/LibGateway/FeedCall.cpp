#include <LibGateway/FeedCall.h>

#include <LibGateway/RowPageFormat.h>

#include <QUrlQuery>

#include <algorithm>
#include <utility>

namespace Chicorydock {

const QByteArray feedPath = "/domain-feed";
const QByteArray viewAgeField = "View-Age-Ms";

namespace {

    constexpr Milliseconds connectTimeout { 300 };

    /// Longest time without a further byte of an answer that has begun.
    constexpr Milliseconds progressTimeout { 500 };

    constexpr qsizetype maxBodyBytes = 32 * 1024 * 1024;

    /// Limit on the wait that a peer may ask for.
    constexpr qulonglong maxWaitMs = 10'000;

    const QString tableParameter = QStringLiteral("table");
    const QString afterParameter = QStringLiteral("after");
    const QString minVersionParameter = QStringLiteral("min_version");
    const QString waitParameter = QStringLiteral("wait_ms");

}

QByteArray encodeFeedTarget(const FeedRequest& request)
{
    QUrlQuery query;
    query.addQueryItem(tableParameter, QString::fromStdString(request.table));
    if (request.after)
        query.addQueryItem(afterParameter, QString::number(*request.after));
    query.addQueryItem(minVersionParameter, QString::number(request.minVersion));
    query.addQueryItem(waitParameter, QString::number(request.wait.count()));
    return feedPath + '?' + query.toString(QUrl::FullyEncoded).toUtf8();
}

std::optional<FeedRequest> decodeFeedQuery(const QByteArray& text)
{
    const QUrlQuery query(QString::fromUtf8(text));
    if (!query.hasQueryItem(tableParameter))
        return {};
    FeedRequest request;
    request.table = query.queryItemValue(tableParameter, QUrl::FullyDecoded).toStdString();
    if (query.hasQueryItem(afterParameter))
        request.after = query.queryItemValue(afterParameter).toULongLong();
    request.minVersion = query.queryItemValue(minVersionParameter).toULongLong();
    request.wait = Milliseconds { std::min(query.queryItemValue(waitParameter).toULongLong(), maxWaitMs) };
    return request;
}

FeedCall::FeedCall(HttpClient& client, const FeedSource& source, FeedRequest request, Milliseconds patience,
    std::function<void(const Result&)> onEnd)
    : m_request(std::move(request))
    , m_onEnd(std::move(onEnd))
{
    m_timer.setSingleShot(true);
    QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] { end(); });
    m_timer.start(patience);
    m_call = client.start({ .address = source.address,
                              .method = "GET",
                              .target = encodeFeedTarget(m_request),
                              .headers = {},
                              .body = {},
                              .progressTimeout = patience + progressTimeout,
                              .connectTimeout = std::min(connectTimeout, patience),
                              .maxAnswerBytes = maxBodyBytes },
        *this);
}

void FeedCall::onHeaders(int status, const HttpHeaders& headers)
{
    m_result.status = status;
    bool hasAge = false;
    m_result.viewAge = Milliseconds { headers.find(viewAgeField).value_or(QByteArray()).toUInt(&hasAge) };
    // Without its age, the view confirms nothing.
    if (status == 200 && !hasAge)
        m_result.status = 0;
    m_timer.start(progressTimeout);
}

void FeedCall::onData(const QByteArray& data)
{
    m_body += data;
    m_timer.start(progressTimeout);
}

void FeedCall::onFinished()
{
    m_result.bytes = m_body.size();
    if (m_result.status == 200)
        m_result.page = decodeRowPage(m_request.table, m_body);
    // A source that is behind must not make this node go back.
    if (m_result.page && m_result.page->storeVersion < std::max(m_request.minVersion, m_request.after.value_or(0)))
        m_result.page.reset();
    end();
}

void FeedCall::onFailed(const HttpFailure&)
{
    m_result.status = 0;
    end();
}

void FeedCall::end()
{
    m_timer.stop();
    const auto onEnd = std::exchange(m_onEnd, {});
    // The connection may fail after the timer has expired, before this call is destroyed.
    if (!onEnd)
        return;
    const Result result = std::move(m_result);
    onEnd(result);
}

}
