#include <Utilities/chicorydock/RequestCommand.h>

#include <LibOperator/ExplanationMessages.h>
#include <LibSettings/TomlTable.h>
#include <Utilities/chicorydock/OperatorJson.h>
#include <Utilities/chicorydock/RequestFile.h>
#include <Utilities/chicorydock/TextTable.h>
#include <Utilities/chicorydock/ToolFailure.h>

#include <iomanip>
#include <sstream>

namespace Chicorydock {

namespace {

    std::string formatCost(double cost)
    {
        std::ostringstream out;
        out << std::fixed << std::setprecision(2) << cost;
        return out.str();
    }

    std::string formatTime(Milliseconds time) { return std::to_string(time.count()) + " ms"; }

    std::string readRequest(const std::string& path)
    {
        try {
            return toRequestMessage(readTextFile(path));
        } catch (const Error& error) {
            throw ToolFailure::of(error, ExitCode::Usage);
        }
    }

    void printRoute(const RequestExplanation& explanation, std::ostream& out)
    {
        out << "node " << explanation.node << ", configuration " << explanation.configuration << "\n";
        if (!explanation.route.empty())
            out << "route " << explanation.route << ", prefix " << explanation.prefix << ", priority "
                << explanation.priority << "\n";
        if (!explanation.otherPrefixes.empty()) {
            out << "other prefixes of the host:";
            for (const std::string& it : explanation.otherPrefixes)
                out << " " << it;
            out << "\n";
        }
        if (explanation.workspace)
            out << "workspace " << (explanation.workspace->empty() ? "none, anonymous" : *explanation.workspace)
                << "\n";
        if (explanation.items > 0)
            out << "job of " << explanation.items << " items, explained by the first one\n";
    }

    void printQuota(const QuotaView& quota, std::ostream& out)
    {
        out << "  rate limit " << formatCost(quota.limits.requestsPerSecond) << "/s, burst "
            << formatCost(quota.limits.burst) << ": " << formatCost(quota.level)
            << " requests left, in touch with a part of " << formatCost(quota.groupShare)
            << " of the nodes, share of this node " << formatCost(quota.ownShare) << "\n";
    }

    void printDecision(const SlotExplanation& decision, std::ostream& out)
    {
        if (decision.refusal)
            out << "  refused for " << refusalName(*decision.refusal) << ", retry after "
                << formatTime(decision.retryAfter) << " at the earliest\n";
        else if (!decision.endpoint.empty())
            out << "  starts at " << decision.endpoint << "\n";
        else
            out << "  waits for a slot\n";
        out << "  " << decision.ahead << " served first, expected wait " << formatTime(decision.expectedWait)
            << ", expected time in the slot " << formatTime(decision.expectedSlotTime) << "\n";
        if (decision.quota)
            printQuota(*decision.quota, out);
    }

    void printEndpoints(const std::vector<EndpointEvaluation>& endpoints, std::ostream& out)
    {
        TextTable table({ "  endpoint", "failure domain", "obstacle", "cost", "load", "distance", "slowness", "spread",
            "yield", "rate limit", "prompt", "online", "batch", "slots", "age ms" });
        for (const EndpointEvaluation& it : endpoints)
            table.addRow({ "  " + it.endpoint, it.failureDomain, std::string(obstacleName(it.obstacle)),
                formatCost(it.cost.total()), formatCost(it.cost.load), formatCost(it.cost.distance),
                formatCost(it.cost.slowness), formatCost(it.cost.spread), formatCost(it.cost.yield),
                formatCost(it.cost.rateLimit), formatCost(it.cost.prompt), std::to_string(it.view.online),
                std::to_string(it.view.batch), std::to_string(it.view.slotCount),
                it.view.age ? std::to_string(it.view.age->count()) : "-" });
        table.print(out);
    }

    void printExplanation(const RequestExplanation& explanation, std::ostream& out)
    {
        printRoute(explanation, out);
        if (explanation.refusal) {
            const ErrorRow& row = errorRow(explanation.refusal->kind());
            out << "refused with " << row.httpStatus << ": " << explanation.refusal->message() << "\n";
            return;
        }
        if (explanation.coordinator != explanation.node) {
            out << "node " << explanation.coordinator << " allocates the slots and knows their use; ask it\n";
            return;
        }
        for (const ServiceExplanation& it : explanation.services) {
            out << "service " << it.decision.service << ", weight " << it.weight << "\n";
            printDecision(it.decision, out);
            printEndpoints(it.decision.endpoints, out);
        }
    }

}

void runExplainRequest(CommandContext& context)
{
    const std::string message = readRequest(context.arguments[0]);
    const RequestExplanation explanation
        = context.nodes.callAny([&](OperatorHandler& node) { return node.explainRequest(message); });
    if (context.line.isJson)
        context.out << toLine(toJson(explanation)) << "\n";
    else
        printExplanation(explanation, context.out);
}

}
