#pragma once

#include "Exchange.h"

#include <standins/Store.h>

#include <atomic>
#include <thread>

namespace Chicorydock {

/// An endpoint that answers as the target of a request says: a stream of events or a body, slowly, and with a length,
/// in chunks or with neither. It registers in the store, has a limited number of slots and drops a request when its
/// connection closes. Its threads run until the end of the program.
///
/// Thread safety: all members may be called from any thread.
class SoakEndpoint {
public:
    SoakEndpoint(Review::Store&, Ledger<Run>&, std::string id, std::string service, std::string zone, unsigned slots);

    /// Resets the connections of all requests that are in progress.
    void resetConnections() { ++m_resets; }

private:
    void beat();
    void handle(const Review::Request&, Review::Connection&);
    bool takeSlot(const Review::Connection&);
    void run(const Review::Request&, Review::Connection&);
    Review::Headers headers(const std::string& requestId) const;
    /// Waits. Returns how the run ends, or `Running` if it goes on.
    Run::End wait(double ms, unsigned resets, const Review::Connection&) const;

    Review::Store& m_store;
    Ledger<Run>& m_runs;
    const std::string m_id;
    const std::string m_service;
    const std::string m_zone;
    const unsigned m_slots;
    std::atomic<unsigned> m_running { 0 };
    std::atomic<unsigned> m_waiting { 0 };
    std::atomic<unsigned> m_resets { 0 };
    Review::Server m_server;
    std::thread m_heartbeat;
};

}
