#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/SlotCoordinator.h>
#include <LibGateway/SlotMember.h>

#include <QObject>
#include <QTimer>

#include <functional>
#include <string>

namespace Chicorydock {

/// Sends and receives the messages between this node and its coordinator or its members on the event loop.
///
/// Thread safety: used on the thread that created it.
class SlotExchange final : public QObject {
public:
    struct Handlers {
        std::function<void(const std::string& node, const SlotReport&)> sendReport;
        std::function<void(const std::string& node, const SlotReply&)> sendReply;
        /// Called when there are decisions about the work of this node.
        std::function<void()> onDecisions;
        /// Called after the slots in use may have changed.
        std::function<void()> onUseChanged;
    };

    /// `node` is the name of this node. The member and the coordinator outlive the exchange.
    SlotExchange(std::string node, SlotMember&, SlotCoordinator&, const Clock&, Handlers);

    void receive(const std::string& node, const SlotReport&);
    void receive(const std::string& node, const SlotReply&);

    /// Runs the exchange from the event loop, because work or the slot use of peers has changed.
    void schedule();

private:
    void run();
    void startTimer(MonotonicTime now);

    const std::string m_node;
    SlotMember& m_member;
    SlotCoordinator& m_coordinator;
    const Clock& m_clock;
    const Handlers m_handlers;
    bool m_isScheduled { false };
    QTimer m_timer;
};

}
