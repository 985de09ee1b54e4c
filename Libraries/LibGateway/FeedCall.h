#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/DomainFeedPlan.h>
#include <LibHTTP/HttpClient.h>
#include <LibPlatform/RowStore.h>

#include <QTimer>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Chicorydock {

/// What a node asks another one about a table.
struct FeedRequest {
    std::string table;
    /// Version after which changes are wanted; nothing for all rows.
    std::optional<uint64_t> after;
    /// Version that the answer must have at least.
    uint64_t minVersion { 0 };
    /// Longest time for which the answer may wait for changes.
    Milliseconds wait { 0 };

    auto operator<=>(const FeedRequest&) const = default;
};

/// Path at which nodes serve tables to each other.
extern const QByteArray feedPath;
/// Header field of a response: time since the copy of the source was last known to be up to date, in milliseconds.
extern const QByteArray viewAgeField;

/// Returns the request target, with the request as its query. May be called from any thread.
QByteArray encodeFeedTarget(const FeedRequest&);
/// Returns nothing if the query names no table. May be called from any thread.
std::optional<FeedRequest> decodeFeedQuery(const QByteArray& query);

/// One call to another node for a table.
///
/// Thread safety: used on the thread that created it.
class FeedCall final : public HttpCallObserver {
public:
    struct Result {
        /// Status code, 0 if no response began in time or the connection failed.
        int status { 0 };
        /// Set if the status is 200 and a whole page has arrived that is not older than the request asks for.
        std::optional<RowPage> page;
        Milliseconds viewAge { 0 };
        qsizetype bytes { 0 };
    };

    /// Calls `onEnd` once, unless the call is destroyed before. `onEnd` may destroy it. The answer has to begin within
    /// `patience`.
    FeedCall(
        HttpClient&, const FeedSource&, FeedRequest, Milliseconds patience, std::function<void(const Result&)> onEnd);

    // HttpCallObserver
    void onHandedOver() override { }
    void onHeaders(int status, const HttpHeaders&) override;
    void onData(const QByteArray&) override;
    void onFinished() override;
    void onFailed(const HttpFailure&) override;

private:
    void end();

    const FeedRequest m_request;
    std::function<void(const Result&)> m_onEnd;
    Result m_result;
    QByteArray m_body;
    QTimer m_timer;
    std::unique_ptr<HttpCall> m_call;
};

}
