#pragma once

#include <standins/Store.h>

#include <atomic>

namespace Chicorydock {

/// The store as the nodes reach it: a server in front of the stand-in, which can be made faulty.
///
/// Thread safety: all members may be called from any thread.
class StoreFront {
public:
    enum class Fault { None, Silent, Refusing, Slow, Closing, HistoryDropped };

    explicit StoreFront(const Review::Store&);

    std::string address() const { return m_server.address(); }
    void setFault(Fault fault) { m_fault = fault; }

private:
    void handle(const Review::Request&, Review::Connection&);
    void pass(const Review::Request&, Review::Connection&) const;

    const std::string m_store;
    std::atomic<Fault> m_fault { Fault::None };
    Review::Server m_server;
};

}
