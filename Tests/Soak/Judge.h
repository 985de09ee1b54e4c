#pragma once

#include "Exchange.h"
#include "SoakNode.h"

#include <map>
#include <string>
#include <vector>

namespace Chicorydock {

/// What a play found. The counts are by name, for the table of a series of seeds.
struct Verdict {
    std::vector<std::string> findings;
    /// Requests that were closed beside no planned work, of which the rules allow a few.
    std::vector<std::string> notes;
    /// All requests that were not answered whole with 200.
    std::vector<std::string> record;
    std::map<std::string, size_t> counts;
};

/// Judges a play by the rules of the platform's pages, from what the callers and the endpoints saw.
///
/// Load: the requests of one play, some ten thousand.
class Judge {
public:
    /// `lives` has an entry for each node. No request may wait longer than `routeTimeoutMs` allows, the shortest
    /// timeout that a configuration gave its route.
    Judge(std::vector<std::vector<SoakNode::Life>> lives, std::map<RequestKind, double> routeTimeoutMs);

    Verdict judge(const std::vector<Exchange>&, const std::vector<Run>&) const;

    /// Returns a line on the request, its node's stop and its runs, for the record.
    std::string describe(const Exchange&, const std::vector<Run>&) const;

private:
    using Runs = std::multimap<std::string, Run>;

    void judgeAnswer(const Exchange&, const Runs&, Verdict&) const;
    void judgeEnd(const Exchange&, const Runs&, Verdict&) const;
    /// Returns why the end of the connection breaks no rule, or an empty text.
    std::string excuse(const Exchange&, const SoakNode::Life&, const std::vector<Run>&) const;
    double limitMs(const SoakRequest&) const;
    const SoakNode::Life* lifeOf(const Exchange&) const;

    const std::vector<std::vector<SoakNode::Life>> m_lives;
    const std::map<RequestKind, double> m_routeTimeoutMs;
};

}
