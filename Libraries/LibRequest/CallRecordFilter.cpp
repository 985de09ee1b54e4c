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

    std::string makeToken()
    {
        thread_local SeededRandom random = SeededRandom::fromEntropy();
        return random.identifier();
    }

}

CallEnd callEndOf(const HttpResponse* answer)
{
    if (!answer)
        return CallEnd::MayHaveRun;
    const QJsonObject error = QJsonDocument::fromJson(answer->body).object().value("error").toObject();
    const ErrorRow* row = findErrorRow(error.value("kind").toString().toStdString());
    if (answer->status < 400 || !row)
        return CallEnd::Answered;
    if (row->notRun)
        return CallEnd::NotRun;
    // An endpoint's own refusal of the content is an answer; every other error leaves open what happened.
    return row->kind == ErrorKind::EndpointRejected ? CallEnd::Answered : CallEnd::MayHaveRun;
}

CallRecordFilter::CallRecordFilter(CallRecordStore& store, const Clock& clock, Post toPlatform, Post toThread)
    : m_store(store)
    , m_clock(clock)
    , m_toPlatform(std::move(toPlatform))
    , m_toThread(std::move(toThread))
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
    claim.token = makeToken();
    m_toPlatform([this, context, next, claim] {
        try {
            const auto outcome = m_store.begin(claim);
            m_toThread([this, context, next, outcome] { resume(context, next, outcome); });
        } catch (const Error& error) {
            m_toThread([context, error] { context->fail(error); });
        }
    });
}

void CallRecordFilter::resume(
    const RequestContextPtr& context, const Next& next, const std::variant<CallPermit, HttpResponse>& outcome)
{
    if (const auto* stored = std::get_if<HttpResponse>(&outcome)) {
        context->answer(*stored);
        return;
    }
    const CallPermit& permit = std::get<CallPermit>(outcome);
    // The hook is called by the context itself, so the plain pointer is valid and makes no cycle.
    context->endHooks.emplace_back([this, permit, owner = context.get()](const HttpResponse* answer) {
        store(permit, answer, owner->isCertainlyNotRun);
    });
    if (context->deadline <= m_clock.now()) {
        context->fail(Error { ErrorKind::DeadlineUnattainable, "the record of the call took until the deadline" });
        return;
    }
    next(context);
}

void CallRecordFilter::store(const CallPermit& permit, const HttpResponse* answer, bool isCertainlyNotRun)
{
    const CallEnd end = isCertainlyNotRun ? CallEnd::NotRun : callEndOf(answer);
    m_toPlatform([this, permit, end, stored = answer ? *answer : HttpResponse {}] {
        try {
            if (end == CallEnd::Answered)
                m_store.finish(permit, stored);
            else if (end == CallEnd::NotRun)
                m_store.abandon(permit);
            else
                m_store.finishAsMayHaveRun(permit);
        } catch (const Error& error) {
            // The record stays as started, so that a resend is told that the call may have run.
            LOG(WARNING) << "could not store the outcome of call '" << permit.row << "': " << error.message();
        }
    });
}

}
