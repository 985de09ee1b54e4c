#pragma once

#include "Caller.h"

#include <standins/Json.h>

namespace Chicorydock {

/// Submits jobs during a play and checks at its end that everything accepted is listed whole.
///
/// Thread safety: `run()` is called from one thread, and the check after its end.
class BatchCaller {
public:
    BatchCaller(const Nodes&, const std::atomic<bool>& isOver, uint64_t seed);

    static constexpr const char* prefix = "/set/";

    /// Submits jobs until `isOver`.
    void run();
    size_t acceptedJobs() const { return m_accepted.size(); }
    /// Waits until all items of accepted jobs are listed, or until the rules say that they are lost. Returns what is
    /// missing or wrong.
    std::vector<std::string> check(const Ledger<Run>&);

private:
    struct Job {
        std::string id;
        size_t events { 0 };
        size_t items { 0 };
        std::map<std::string, std::string> outputs;
        std::string fault;

        std::string itemId(size_t n) const { return 'i' + id + std::to_string(n); }
    };

    Review::Json body(const Job&) const;
    bool submit(const Job&);
    void readResults(Job&);
    bool isListed() const;
    bool isWorkedOn(const std::vector<Run>&) const;
    const SoakNode& anyNode();

    const Nodes& m_nodes;
    const std::atomic<bool>& m_isOver;
    std::mt19937_64 m_random;
    std::vector<Job> m_accepted;
};

}
