#include <LibRequest/CallRecordFilter.h>

#include <LibCore/Digest.h>
#include <LibCore/SeededRandom.h>

#include <QJsonDocument>

#include <glog/logging.h>

namespace Chicorydock {

namespace {

    std::string digestOf(const HttpRequest& request)
    {
        const QByteArray text = request.method + ' ' + request.path + '?' + request.query + '\n' + request.body;
        return sha256Hex({ text.data(), static_cast<size_t>(text.size()) });
    }

    std::string makeWriteToken()
    {
        thread_local SeededRandom random = SeededRandom::fromEntropy();
        return random.identifier();
    }

}

CallOutcome callOutcomeOf(const HttpResponse* answer)
{
    if (!answer)
        return CallOutcome::MayHaveRun;
    const QJsonObject error = QJsonDocument::fromJson(answer->body).object().value("error").toObject();
    const ErrorRow* row = findErrorRow(error.value("kind").toString().toStdString());
    if (answer->status < 400 || !row)
        return CallOutcome::Answered;
    if (row->notRun)
        return CallOutcome::NotRun;
    // A rejection of the content by the endpoint is a response like any other; after other errors, the call may have
    // run.
    return row->kind == ErrorKind::EndpointRejected ? CallOutcome::Answered : CallOutcome::MayHaveRun;
}

CallRecordFilter::CallRecordFilter(CallRecordStore& store, const Clock& clock, Post toPlatform, Post toIoThread)
    : m_store(store)
    , m_clock(clock)
    , m_toPlatform(std::move(toPlatform))
    , m_toIoThread(std::move(toIoThread))
{
}

void CallRecordFilter::handle(const RequestContextPtr& context, const Next& next)
{
    if (context->idempotencyKey.empty()) {
        next(context);
        return;
    }
    CallClaim claim;
    claim.workspace = context->workspace->name;
    claim.key = context->idempotencyKey;
    claim.digest = digestOf(context->exchange->request());
    claim.isUnrepeatable = context->isUnrepeatable;
    claim.deadline
        = m_clock.wallNow() + std::chrono::duration_cast<WallTime::duration>(context->deadline - m_clock.now());
    claim.writeToken = makeWriteToken();
    m_toPlatform([this, context, next, claim] {
        try {
            const auto claimResult = m_store.begin(claim);
            m_toIoThread([this, context, next, claimResult] { processClaimResult(context, next, claimResult); });
        } catch (const Error& error) {
            m_toIoThread([context, error] { context->fail(error); });
        }
    });
}

void CallRecordFilter::processClaimResult(
    const RequestContextPtr& context, const Next& next, const std::variant<CallPermit, HttpResponse>& claimResult)
{
    if (const auto* stored = std::get_if<HttpResponse>(&claimResult)) {
        context->answer(*stored);
        return;
    }
    const CallPermit& permit = std::get<CallPermit>(claimResult);
    // The context itself calls the hook, so the raw pointer is valid, and it creates no reference cycle.
    context->endHooks.emplace_back([this, permit, owner = context.get()](const HttpResponse* answer) {
        storeOutcome(permit, answer, owner->isCertainlyNotRun);
    });
    if (context->deadline <= m_clock.now()) {
        context->fail(Error { ErrorKind::DeadlineUnattainable, "the record of the call took until the deadline" });
        return;
    }
    next(context);
}

void CallRecordFilter::storeOutcome(const CallPermit& permit, const HttpResponse* answer, bool isCertainlyNotRun)
{
    const CallOutcome outcome = isCertainlyNotRun ? CallOutcome::NotRun : callOutcomeOf(answer);
    m_toPlatform([this, permit, outcome, stored = answer ? *answer : HttpResponse {}] {
        try {
            if (outcome == CallOutcome::Answered)
                m_store.finish(permit, stored);
            else if (outcome == CallOutcome::NotRun)
                m_store.abandon(permit);
            else
                m_store.finishAsMayHaveRun(permit);
        } catch (const Error& error) {
            // The record stays in state Started, so a resend of an unrepeatable call fails with MayHaveRun after the
            // deadline.
            LOG(WARNING) << "could not store the outcome of call '" << permit.rowKey << "': " << error.message();
        }
    });
}

}
