#pragma once

#include <LibRequest/CallRecordStore.h>
#include <LibRequest/Filter.h>

#include <LibCore/Post.h>

namespace Chicorydock {

/// Lets a call with an idempotency key run only after its record was inserted, gives resends the stored answer, and
/// stores the answer of the call. Calls without a key pass.
class CallRecordFilter final : public Filter {
public:
    /// `toPlatform` reaches a thread that may block on the platform; `toThread` reaches the I/O thread of the filter.
    CallRecordFilter(CallRecordStore&, const Clock&, Post toPlatform, Post toThread);

    void handle(const RequestContextPtr&, const Next&) override;

private:
    void resume(const RequestContextPtr&, const Next&, const std::variant<CallPermit, HttpResponse>&);
    void store(const CallPermit&, const HttpResponse*, bool isCertainlyNotRun);

    CallRecordStore& m_store;
    const Clock& m_clock;
    Post m_toPlatform;
    Post m_toThread;
};

/// What to store for an answer.
enum class CallEnd : uint8_t {
    Answered,
    NotRun,
    MayHaveRun,
};

/// Returns what the answer to a call says about whether it ran; no answer means that the caller left before there was
/// one.
CallEnd callEndOf(const HttpResponse*);

}
