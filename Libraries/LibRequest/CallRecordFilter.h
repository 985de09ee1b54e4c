#pragma once

#include <LibRequest/CallRecordStore.h>
#include <LibRequest/Filter.h>

#include <LibCore/Post.h>

namespace Chicorydock {

/// Runs a call with an idempotency key only after its record was inserted, sends the stored response to resends, and
/// stores the response of the call. Calls without a key pass unchanged.
class CallRecordFilter final : public Filter {
public:
    /// `toPlatform` posts to a thread that may block on the platform, `toIoThread` to the I/O thread of the filter.
    CallRecordFilter(CallRecordStore&, const Clock&, Post toPlatform, Post toIoThread);

    void handle(const RequestContextPtr&, const Next&) override;

private:
    void processClaimResult(const RequestContextPtr&, const Next&, const std::variant<CallPermit, HttpResponse>&);
    void storeOutcome(const CallPermit&, const HttpResponse*, bool isCertainlyNotRun);

    CallRecordStore& m_store;
    const Clock& m_clock;
    Post m_toPlatform;
    Post m_toIoThread;
};

/// The outcome of a call, as its record stores it.
enum class CallOutcome : uint8_t {
    Answered,
    NotRun,
    MayHaveRun,
};

/// Derives from the response to a call whether the call ran. A null response means that the caller disconnected before
/// there was one.
CallOutcome callOutcomeOf(const HttpResponse*);

}
