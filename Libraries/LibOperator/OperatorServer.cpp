#include <LibOperator/OperatorServer.h>

#include <LibConfiguration/ConfigurationSchema.h>
#include <LibOperator/ExplanationMessages.h>
#include <LibOperator/OperatorMessages.h>
#include <LibRPC/CrossThread.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    /// Bounds on one response, so that a caller cannot make the node build a message of unlimited size.
    constexpr uint32_t maxRevisions = 10'000;
    constexpr uint32_t maxResultLines = 10'000;
    constexpr uint32_t maxEvents = 100'000;

    /// Runs `call` through `post`, then `writeResults` with the results builder and the value on the kj thread.
    template <typename Context, typename Call, typename WriteResults>
    kj::Promise<void> respond(const Post& post, Context context, Call call, WriteResults writeResults)
    {
        using Value = decltype(call());
        // On the heap, because GCC 12 reports a std::vector inside kj::Maybe as uninitialized.
        std::function<kj::Own<Value>()> function = [call = std::move(call)] { return kj::heap<Value>(call()); };
        return runOn(post, std::move(function))
            .then([context = kj::mv(context), writeResults](
                      kj::Own<Value> value) mutable { writeResults(context.getResults(), *value); });
    }

    /// Reads parameters. An invalid value is reported to the caller with the kind of the error that `read` throws.
    template <typename Read> auto readParameter(Read read)
    {
        try {
            return read();
        } catch (const Error& error) {
            kj::throwFatalException(toRpcException(error));
        }
    }

    std::string toString(capnp::Text::Reader text) { return { text.begin(), text.size() }; }

}

OperatorServer::OperatorServer(OperatorHandler& handler, Post post)
    : m_handler(handler)
    , m_post(std::move(post))
{
}

kj::Promise<void> OperatorServer::status(StatusContext context)
{
    return respond(
        m_post, context, [&handler = m_handler] { return handler.status(); },
        [](auto results, const NodeStatus& status) { write(status, results.initStatus()); });
}

kj::Promise<void> OperatorServer::endpoints(EndpointsContext context)
{
    return respond(
        m_post, context, [&handler = m_handler] { return handler.endpoints(); },
        [](auto results, const std::vector<EndpointStatus>& endpoints) {
            writeList(endpoints, results.initEndpoints(static_cast<uint32_t>(endpoints.size())));
        });
}

kj::Promise<void> OperatorServer::apply(ApplyContext context)
{
    const uint64_t expectedRevision = context.getParams().getExpectedRevision();
    Configuration configuration = readParameter([&] { return fromSchema(context.getParams().getConfiguration()); });
    return respond(
        m_post, context,
        [&handler = m_handler, expectedRevision, configuration = std::move(configuration)] {
            return handler.apply(configuration, expectedRevision);
        },
        [](auto results, uint64_t revision) { results.setRevision(revision); });
}

kj::Promise<void> OperatorServer::configuration(ConfigurationContext context)
{
    return respond(
        m_post, context, [&handler = m_handler] { return handler.configuration(); },
        [](auto results, const Configuration& configuration) { toSchema(configuration, results.initConfiguration()); });
}

kj::Promise<void> OperatorServer::history(HistoryContext context)
{
    const uint32_t limit = std::min(context.getParams().getLimit(), maxRevisions);
    return respond(
        m_post, context, [&handler = m_handler, limit] { return handler.history(limit); },
        [](auto results, const std::vector<RevisionInfo>& revisions) {
            writeList(revisions, results.initRevisions(static_cast<uint32_t>(revisions.size())));
        });
}

kj::Promise<void> OperatorServer::submitJob(SubmitJobContext context)
{
    JobSubmission job = readParameter([&] { return read(context.getParams().getJob()); });
    // The items may be large and have been copied.
    context.releaseParams();
    return respond(
        m_post, context, [&handler = m_handler, job = std::move(job)] { return handler.submitJob(job); },
        [](auto results, const JobView& status) { write(status, results.initStatus()); });
}

kj::Promise<void> OperatorServer::jobStatus(JobStatusContext context)
{
    return respond(
        m_post, context,
        [&handler = m_handler, id = toString(context.getParams().getId())] { return handler.jobStatus(id); },
        [](auto results, const JobView& status) { write(status, results.initStatus()); });
}

kj::Promise<void> OperatorServer::jobResults(JobResultsContext context)
{
    const auto parameters = context.getParams();
    const uint32_t after = parameters.getAfter();
    const uint32_t limit = std::min(parameters.getLimit(), maxResultLines);
    return respond(
        m_post, context,
        [&handler = m_handler, id = toString(parameters.getId()), after, limit] {
            return handler.jobResults(id, after, limit);
        },
        [](auto results, const ResultPage& page) {
            auto lines = results.initLines(static_cast<uint32_t>(page.lines.size()));
            for (uint32_t n = 0; n < page.lines.size(); ++n)
                lines.set(n, kj::StringPtr(page.lines[n].c_str(), page.lines[n].size()));
            results.setNext(page.next);
            results.setComplete(page.complete);
        });
}

kj::Promise<void> OperatorServer::cancelJob(CancelJobContext context)
{
    return respond(
        m_post, context,
        [&handler = m_handler, id = toString(context.getParams().getId())] { return handler.cancelJob(id); },
        [](auto results, const JobView& status) { write(status, results.initStatus()); });
}

kj::Promise<void> OperatorServer::drain(DrainContext context)
{
    return respond(
        m_post, context,
        [&handler = m_handler, endpoint = toString(context.getParams().getEndpoint())] {
            handler.drain(endpoint);
            return true;
        },
        [](auto, bool) {});
}

kj::Promise<void> OperatorServer::timeline(TimelineContext context)
{
    const uint32_t limit = std::min(context.getParams().getLimit(), maxEvents);
    return respond(
        m_post, context,
        [&handler = m_handler, id = toString(context.getParams().getId()), limit] {
            return handler.timeline(id, limit);
        },
        [](auto results, const std::vector<Event>& events) {
            writeList(events, results.initEvents(static_cast<uint32_t>(events.size())));
        });
}

kj::Promise<void> OperatorServer::explainRequest(ExplainRequestContext context)
{
    const auto bytes = context.getParams().getRequest();
    std::string message(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
    return respond(
        m_post, context,
        [&handler = m_handler, message = std::move(message)] { return handler.explainRequest(message); },
        [](auto results, const RequestExplanation& explanation) { write(explanation, results.initExplanation()); });
}

}
