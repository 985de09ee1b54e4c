#include <Utilities/chicorydock/Commands.h>

#include <LibConfiguration/ConfigurationValidator.h>
#include <LibCore/Digest.h>
#include <LibLog/EventJson.h>
#include <LibLog/RecordingEventLog.h>
#include <LibOperator/OperatorMessages.h>
#include <LibSettings/TomlTable.h>
#include <Utilities/chicorydock/DeclarationFile.h>
#include <Utilities/chicorydock/JobFile.h>
#include <Utilities/chicorydock/LogTimeline.h>
#include <Utilities/chicorydock/OperatorJson.h>
#include <Utilities/chicorydock/RequestCommand.h>
#include <Utilities/chicorydock/TextTable.h>
#include <Utilities/chicorydock/ToolFailure.h>

#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace Chicorydock {

namespace {

    constexpr size_t maxLogFiles = 1'000;

    constexpr uint32_t resultsPerPage = 1'000;
    /// Time between two requests for results that are not available yet.
    constexpr Milliseconds resultsPollInterval { 1'000 };
    /// In hexadecimal digits. Half of a SHA-256 digest is enough to make collisions between changes negligible.
    constexpr size_t requestIdLength = 32;

    std::string formatTime(int64_t unixMilliseconds)
    {
        return QDateTime::fromMSecsSinceEpoch(unixMilliseconds, Qt::UTC).toString(Qt::ISODateWithMs).toStdString();
    }

    std::string formatTime(WallTime time) { return formatTime(toUnixMilliseconds(time)); }

    std::string formatNumber(double number)
    {
        std::ostringstream out;
        out << std::fixed << std::setprecision(1) << number;
        return out.str();
    }

    /// Reads a file given by the user and returns its content and the result of `parse`. Errors of both are reported
    /// with exit code `Usage`.
    template <typename Parse> auto readUserFile(const std::string& path, Parse parse)
    {
        try {
            const std::string content = readTextFile(path);
            return std::pair { content, parse(content) };
        } catch (const Error& error) {
            throw ToolFailure::of(error, ExitCode::Usage);
        }
    }

    template <typename Responses> void warnOfMissingNodes(const Responses& responses, std::ostream& err)
    {
        for (const auto& it : responses) {
            if (it.failure)
                err << "warning: no response from " << it.address << ": " << it.failure->kind << ": "
                    << it.failure->message << "\n";
        }
    }

    void printNode(const NodeStatus& node, std::ostream& out)
    {
        TextTable table({ "node", "region", "failure domain", "revision", "state", "platform", "uptime s", "chunks",
            "placement lease" });
        table.addRow({ node.nodeId, node.region, node.failureDomain, std::to_string(node.revision),
            node.isStopping ? "stopping" : (node.isReady ? "ready" : "not ready"),
            node.isPlatformReachable ? "reachable" : "unreachable", std::to_string(node.uptime.count() / 1000),
            std::to_string(node.claimedChunks), node.holdsPlacementLease ? "held" : "-" });
        table.print(out);
        TextTable services(
            { "  service", "online queued", "in flight", "batch queued", "in flight", "refused", "yielded", "hedged" });
        for (const ServiceStatus& it : node.services) {
            const SchedulerCounters& counters = it.counters;
            services.addRow({ "  " + it.name, std::to_string(counters.onlineQueued),
                std::to_string(counters.onlineInFlight), std::to_string(counters.batchQueued),
                std::to_string(counters.batchInFlight), std::to_string(counters.refused),
                std::to_string(counters.yielded), std::to_string(counters.hedged) });
        }
        services.print(out);
        TextTable members({ "  member", "state", "failure domain", "address" });
        for (const MemberUpdate& it : node.members)
            members.addRow({ "  " + it.nodeId, std::string(stateName(it.state)), it.failureDomain, it.address });
        members.print(out);
    }

    void runStatus(CommandContext& context)
    {
        const auto responses = context.nodes.callAll([](OperatorHandler& node) { return node.status(); });
        if (!context.line.isJson) {
            for (const auto& it : responses) {
                if (it.value)
                    printNode(*it.value, context.out);
            }
            warnOfMissingNodes(responses, context.err);
            return;
        }
        QJsonArray nodes;
        QJsonArray missing;
        for (const auto& it : responses) {
            if (it.value)
                nodes.append(toJson(*it.value));
            else
                missing.append(QJsonObject { { "address", QString::fromStdString(it.address) },
                    { "kind", QString::fromStdString(it.failure->kind) },
                    { "message", QString::fromStdString(it.failure->message) } });
        }
        context.out << toLine({ { "nodes", nodes }, { "missing", missing } }) << "\n";
    }

    void runEndpoints(CommandContext& context)
    {
        const auto endpoints = context.nodes.callAny([](OperatorHandler& node) { return node.endpoints(); });
        if (context.line.isJson) {
            context.out << toLine({ { "endpoints", toJsonArray(endpoints) } }) << "\n";
            return;
        }
        TextTable table({ "endpoint", "service", "failure domain", "state", "online", "batch", "limit", "health",
            "first token ms", "token gap ms", "address" });
        for (const EndpointStatus& it : endpoints)
            table.addRow({ it.id, it.service, it.failureDomain, std::string(stateName(it.state)),
                std::to_string(it.onlineInFlight), std::to_string(it.batchInFlight), std::to_string(it.limit),
                formatNumber(it.health), formatNumber(it.firstTokenMs), formatNumber(it.tokenGapMs), it.address });
        table.print(context.out);
    }

    void runApply(CommandContext& context)
    {
        const std::string& path = context.arguments[0];
        auto [content, configuration]
            = readUserFile(path, [&](const std::string& text) { return parseDeclarations(text, path); });
        const uint64_t expectedRevision = context.line.expectedRevision
            ? *context.line.expectedRevision
            : context.nodes.callAny([](OperatorHandler& node) { return node.configuration().revision; });
        configuration.author = context.line.author;
        configuration.requestId = context.line.requestId;
        if (configuration.requestId.empty())
            configuration.requestId
                = sha256Hex(std::to_string(expectedRevision) + "\n" + configuration.author + "\n" + content)
                      .substr(0, requestIdLength);
        try {
            validate(configuration);
        } catch (const Error& error) {
            throw ToolFailure::of(error, ExitCode::Usage);
        }
        uint64_t revision = 0;
        try {
            revision = context.nodes.callAny([&configuration = configuration, expectedRevision](OperatorHandler& node) {
                return node.apply(configuration, expectedRevision);
            });
        } catch (ToolFailure& failure) {
            if (failure.kind == errorRow(ErrorKind::OutcomeUnknown).name)
                failure.message += "; to find out, repeat the command with --expect " + std::to_string(expectedRevision)
                    + " --request_id " + configuration.requestId;
            throw;
        }
        if (context.line.isJson)
            context.out << toLine({ { "revision", static_cast<qint64>(revision) },
                { "request_id", QString::fromStdString(configuration.requestId) } })
                        << "\n";
        else
            context.out << "revision " << revision << " accepted\n";
    }

    void runHistory(CommandContext& context)
    {
        const uint32_t limit = context.line.limit;
        const auto revisions = context.nodes.callAny([limit](OperatorHandler& node) { return node.history(limit); });
        if (context.line.isJson) {
            context.out << toLine({ { "revisions", toJsonArray(revisions) } }) << "\n";
            return;
        }
        TextTable table({ "revision", "accepted", "author", "request id" });
        for (const RevisionInfo& it : revisions)
            table.addRow({ std::to_string(it.revision), formatTime(it.accepted), it.author, it.requestId });
        table.print(context.out);
    }

    void printJob(const JobView& job, const CommandContext& context)
    {
        if (context.line.isJson) {
            context.out << toLine({ { "job", toJson(job) } }) << "\n";
            return;
        }
        TextTable table({ "job", "workspace", "state", "total", "completed", "failed", "created", "due" });
        table.addRow({ job.id, job.workspace, std::string(stateName(job.state)), std::to_string(job.total),
            std::to_string(job.completed), std::to_string(job.failed), formatTime(job.created),
            formatTime(job.deadline) });
        table.print(context.out);
    }

    void runJobSubmit(CommandContext& context)
    {
        const std::string& path = context.arguments[0];
        if (context.line.workspace.empty())
            throw ToolFailure::usage("job submit requires --workspace");
        auto [content, isChecked] = readUserFile(path, [&](const std::string& text) {
            checkJobItems(text, path);
            return true;
        });
        const JobSubmission job {
            .id = context.line.jobId,
            .workspace = context.line.workspace,
            .items = std::move(content),
            .unrepeatable = context.line.isUnrepeatable,
            .completionWindow = context.line.completionWindow,
        };
        printJob(context.nodes.callAny([&](OperatorHandler& node) { return node.submitJob(job); }), context);
    }

    void runJobStatus(CommandContext& context)
    {
        const std::string& id = context.arguments[0];
        printJob(context.nodes.callAny([&](OperatorHandler& node) { return node.jobStatus(id); }), context);
    }

    void runJobCancel(CommandContext& context)
    {
        const std::string& id = context.arguments[0];
        printJob(context.nodes.callAny([&](OperatorHandler& node) { return node.cancelJob(id); }), context);
    }

    /// Prints the results of a job page by page, because they may exceed the size of one message.
    class ResultPrinter {
    public:
        explicit ResultPrinter(CommandContext& context)
            : m_context(context)
        {
        }

        void run()
        {
            bool isComplete = printAvailable();
            while (!isComplete && m_context.line.waitsForCompletion && !isCancelled()) {
                m_context.sleep(resultsPollInterval);
                isComplete = printAvailable();
            }
            finish(isComplete);
        }

    private:
        const std::string& id() const { return m_context.arguments[0]; }

        /// Prints the available results and returns whether the results of the job are complete.
        bool printAvailable()
        {
            while (true) {
                const ResultPage page = m_context.nodes.callAny(
                    [&](OperatorHandler& node) { return node.jobResults(id(), m_next, resultsPerPage); });
                for (const std::string& it : page.lines)
                    printLine(it);
                if (page.complete || page.next <= m_next)
                    return page.complete;
                m_next = page.next;
            }
        }

        void printLine(const std::string& line)
        {
            if (m_context.line.isJson)
                m_context.out << (m_isEmpty ? "{\"results\":[" : ",") << line;
            else
                m_context.out << line << "\n";
            m_isEmpty = false;
        }

        bool isCancelled()
        {
            const JobView job = m_context.nodes.callAny([&](OperatorHandler& node) { return node.jobStatus(id()); });
            return job.state == JobView::State::Cancelled;
        }

        void finish(bool isComplete)
        {
            if (m_context.line.isJson)
                m_context.out << (m_isEmpty ? "{\"results\":[" : "")
                              << "],\"complete\":" << (isComplete ? "true" : "false") << "}\n";
            if (!isComplete && m_context.line.waitsForCompletion)
                throw ToolFailure::of(Error { ErrorKind::Cancelled, "job " + id() + " was cancelled" });
            if (!isComplete && !m_context.line.isJson)
                m_context.err << "the job has not ended yet; use --wait to wait for the remaining results\n";
        }

        CommandContext& m_context;
        uint32_t m_next { 0 };
        bool m_isEmpty { true };
    };

    void runJobResults(CommandContext& context) { ResultPrinter(context).run(); }

    void runDrain(CommandContext& context)
    {
        const std::string& endpoint = context.arguments[0];
        context.nodes.callAny([&](OperatorHandler& node) {
            node.drain(endpoint);
            return true;
        });
        if (context.line.isJson)
            context.out << toLine({ { "draining", QString::fromStdString(endpoint) } }) << "\n";
        else
            context.out << "endpoint " << endpoint << " is draining and receives no new work\n";
    }

    void runTimeline(CommandContext& context)
    {
        const std::string id = context.arguments.empty() ? "" : context.arguments[0];
        const uint32_t limit = context.line.limit;
        const auto responses = context.nodes.callAll([&](OperatorHandler& node) { return node.timeline(id, limit); });
        std::vector<std::vector<Event>> lists;
        for (const auto& it : responses)
            lists.push_back(it.value.value_or(std::vector<Event> {}));
        std::vector<Event> events = mergeEvents(lists);
        if (events.size() > limit)
            events.erase(events.begin(), events.end() - limit);
        warnOfMissingNodes(responses, context.err);
        if (context.line.isJson) {
            context.out << toLine({ { "events", toJsonArray(events) } }) << "\n";
            return;
        }
        TextTable table({ "time", "node", "subject", "action", "id", "trace id", "details" });
        for (const Event& it : events)
            table.addRow({ formatTime(it.time.wallMilliseconds), it.node, it.subject, it.action, it.id, it.traceId,
                it.details.isEmpty() ? "" : toLine(it.details) });
        table.print(context.out);
    }

    LogTimeline readLogTimeline(const std::vector<std::string>& arguments)
    {
        LogTimeline timeline(arguments[0]);
        if (arguments.size() == 1) {
            timeline.read(std::cin);
            return timeline;
        }
        for (size_t n = 1; n < arguments.size(); ++n) {
            std::ifstream file(arguments[n]);
            if (!file)
                throw ToolFailure::usage("cannot read " + arguments[n]);
            timeline.read(file);
        }
        return timeline;
    }

    void runExplain(CommandContext& context)
    {
        const LogTimeline timeline = readLogTimeline(context.arguments);
        const std::vector<QJsonObject> lines = timeline.lines();
        if (timeline.unreadableLines() > 0)
            context.err << "skipped " << timeline.unreadableLines() << " of " << timeline.totalLines()
                        << " lines that are not JSON objects\n";
        if (lines.empty())
            throw Error(ErrorKind::NotFound,
                "none of " + std::to_string(timeline.totalLines()) + " lines mentions \"" + context.arguments[0]
                    + "\"");
        if (context.line.isJson) {
            QJsonArray array;
            for (const QJsonObject& it : lines)
                array.append(it);
            context.out << toLine({ { "lines", array } }) << "\n";
            return;
        }
        TextTable table({ "time", "node", "subject", "action", "id", "details" });
        for (const QJsonObject& it : lines)
            table.addRow({ formatTime(it["wall_ms"].toInteger()), it["node"].toString().toStdString(),
                it["subject"].toString().toStdString(), it["action"].toString().toStdString(),
                it["id"].toString().toStdString(), toLine(it["details"].toObject()) });
        table.print(context.out);
    }

    void runDigest(CommandContext& context)
    {
        const std::string digest = sha256Hex(context.arguments[0]);
        if (context.line.isJson)
            context.out << toLine({ { "digest", QString::fromStdString(digest) } }) << "\n";
        else
            context.out << digest << "\n";
    }

    const std::vector<Command>& commands()
    {
        static const std::vector<Command> commands {
            { { "status" }, 0, 0, "status", "Shows the given nodes with their queues and members.", runStatus },
            { { "endpoints" }, 0, 0, "endpoints", "Shows the endpoints as known to one node.", runEndpoints },
            { { "apply" }, 1, 1, "apply FILE [--expect REV]",
                "Replaces the configuration with the declarations in a TOML file.", runApply },
            { { "history" }, 0, 0, "history", "Shows the newest configuration revisions.", runHistory },
            { { "job", "submit" }, 1, 1, "job submit FILE --workspace NAME",
                "Submits a batch job, one JSON object per line. Submitting it again returns the same job.",
                runJobSubmit },
            { { "job", "status" }, 1, 1, "job status ID", "Shows a job.", runJobStatus },
            { { "job", "results" }, 1, 1, "job results ID [--wait]",
                "Prints the results of a job in the order of its items, one JSON object per line.", runJobResults },
            { { "job", "cancel" }, 1, 1, "job cancel ID", "Cancels a job.", runJobCancel },
            { { "drain" }, 1, 1, "drain ENDPOINT", "Takes an endpoint out of service. This cannot be undone.",
                runDrain },
            { { "timeline" }, 0, 1, "timeline [ID]",
                "Merges the newest events of the given nodes; with ID, only those of one request, job or endpoint.",
                runTimeline },
            { { "explain" }, 1, maxLogFiles + 1, "explain ID [FILE...]",
                "Prints the lines about a request, job or item from the logs of several processes, in order of time. "
                "Reads standard input if no file is given.",
                runExplain },
            { { "route", "explain" }, 1, 1, "route explain FILE",
                "Explains where the request in a file would go now, without sending it.", runExplainRequest },
            { { "digest" }, 1, 1, "digest KEY", "Prints the digest of a caller's key, for use in declarations.",
                runDigest },
        };
        return commands;
    }

}

const Command* findCommand(const std::vector<std::string>& words)
{
    for (const Command& it : commands()) {
        if (words.size() >= it.words.size() && std::equal(it.words.begin(), it.words.end(), words.begin()))
            return &it;
    }
    return nullptr;
}

std::string describeCommand(const Command& command)
{
    return "chicorydock " + command.usage + "\n  " + command.description + "\n\nFlags:\n" + describeFlags();
}

std::string describeCommands()
{
    std::ostringstream out;
    out << "chicorydock [--node IP:PORT,...] [--json] COMMAND\n\nCommands:\n";
    for (const Command& it : commands())
        out << "  " << it.usage << "\n      " << it.description << "\n";
    out << "\nFlags:\n" << describeFlags();
    out << "\nExit codes: 0 success, 1 refused or failed, 2 invalid command line or file, 3 no node reachable.\n";
    return out.str();
}

}
