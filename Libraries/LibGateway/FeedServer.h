#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/FeedCall.h>
#include <LibGateway/TableCopy.h>
#include <LibHTTP/HttpExchange.h>

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// Serves the copies of a node's tables to the other nodes of its failure domain. A call for changes is answered when
/// there are some, and otherwise when the node has heard from the store that there are none. A call for rows that the
/// node does not have yet waits for them.
///
/// Load: tens of nodes that wait for the same changes, and start at once. An answer is encoded once for all of them,
/// and changes in quick succession are sent together.
///
/// Thread safety: used on the thread that created it.
class FeedServer final : public QObject {
public:
    /// Returns the copy of a table, null if the node does not keep it.
    using FindCopy = std::function<const TableCopy*(const std::string& table)>;
    /// Brings the copy of a table up to date, and reports whether that succeeded.
    using Refresh = std::function<void(const std::string& table, std::function<void(bool)> onDone)>;

    /// Least time between two answers with changes of a table.
    static constexpr Milliseconds minPushInterval { 150 };

    FeedServer(const Clock&, FindCopy, Refresh);
    ~FeedServer() override;

    /// Answers a call of another node for a table, now or later.
    void handle(std::shared_ptr<HttpExchange>);

    /// Answers the calls that wait for a table whose copy has just been found to be up to date.
    void update(const std::string& table);

    /// Refuses further calls and ends those that wait for rows or changes. Calls that wait for a refresh end with it.
    void stop();

    /// Bytes of the answers.
    uint64_t sentBytes() const { return m_sentBytes; }

private:
    struct Held {
        FeedRequest request;
        std::shared_ptr<HttpExchange> exchange;
        MonotonicTime expiresAt;
    };

    struct Calls {
        std::vector<Held> held;
        MonotonicTime pushedAt;
        /// Answers by the version after which changes were asked for; valid for one version of the copy.
        std::map<std::optional<uint64_t>, QByteArray> bodies;
        uint64_t bodiesVersion { 0 };
        /// Calls that wait for a refresh in progress.
        std::vector<Held> refreshing;
    };

    /// Answers the call if there is reason to. `isConfirmed` says that the copy is known to be up to date.
    bool tryAnswer(Calls&, const Held&, bool isConfirmed);
    bool tryAnswerChanges(Calls&, const Held&, const TableCopy&, bool isConfirmed);
    bool isUsable(const TableCopy&, const FeedRequest&) const;
    void refresh(const std::string& table, Held);
    void answer(Calls&, const Held&, const TableCopy&);
    void refuse(const Held&, int status) const;
    void hold(Calls&, Held);
    void processDue();
    /// Answers the held calls for which there is reason to, and ends those that have waited too long.
    void answerHeld(Calls&, bool isConfirmed);
    void scheduleDue(MonotonicTime);

    const Clock& m_clock;
    const FindCopy m_findCopy;
    const Refresh m_refresh;
    std::map<std::string, Calls> m_calls;
    bool m_isStopped { false };
    uint64_t m_sentBytes { 0 };
    /// Whether changes were sent to a caller since this was last reset.
    bool m_hasSentChanges { false };
    QTimer m_timer;
    MonotonicTime m_dueAt;
    std::shared_ptr<bool> m_lifetime { std::make_shared<bool>(true) };
};

}
