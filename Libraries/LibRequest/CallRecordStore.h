#pragma once

#include <LibCore/Clock.h>
#include <LibPlatform/TableService.h>
#include <LibRequest/CallRecord.h>

#include <variant>

namespace Chicorydock {

/// A call for which a node requests the permit to run it.
struct CallClaim {
    std::string workspace;
    std::string key;
    std::string digest;
    bool isUnrepeatable { false };
    /// Time by which the call has ended, whatever its outcome.
    WallTime deadline;
    /// Unique for each claim.
    std::string writeToken;
};

/// The right to run a call. The holder must report the outcome with `finish()`, `finishAsMayHaveRun()` or `abandon()`.
struct CallPermit {
    std::string rowKey;
    uint64_t version { 0 };
    CallRecord record;
};

/// Stores the durable records of calls with an idempotency key in table `calls`, one row for each workspace and key. A
/// row is inserted conditionally before the call is sent, so that only one of the nodes that receive the call sends it.
///
/// Thread safety: all methods may be called from any thread; they block on the platform.
class CallRecordStore {
public:
    CallRecordStore(TableService&, const Clock&);

    /// Returns the permit to run the call, or the stored response of an earlier call with the same key.
    /// Throws Error(KeyReused) if the key was used for another call, Error(CallInProgress) while an earlier call may
    /// still be running, Error(MayHaveRun) if an earlier unrepeatable call was sent and its outcome cannot be
    /// determined, and Error(PlatformUnavailable) if the record cannot be written or confirmed; the call must then
    /// not be sent.
    std::variant<CallPermit, HttpResponse> begin(const CallClaim&);

    /// Stores the response for later resends. Throws Error(PlatformUnavailable) or Error(OutcomeUnknown); calling it
    /// again is safe.
    void finish(const CallPermit&, const HttpResponse&);

    /// Stores that the outcome cannot be determined. Throws like `finish()`.
    void finishAsMayHaveRun(const CallPermit&);

    /// Removes the record of a call that certainly was not sent, so that a resend may run. Throws like `finish()`.
    void abandon(const CallPermit&);

private:
    std::variant<CallPermit, HttpResponse> resolveExisting(
        const CallClaim&, const std::string& rowKey, const CallRecord& own);
    CallPermit takeOver(const std::string& rowKey, const CallRecord& own, uint64_t expectedVersion);
    /// Writes `own` if the row has the expected version (0: no row exists); returns nothing if it has another.
    std::optional<CallPermit> tryWrite(const std::string& rowKey, const CallRecord& own, uint64_t expectedVersion);
    /// Returns the permit if the row holds `own`, after a write whose outcome is unknown.
    CallPermit readBack(const std::string& rowKey, const CallRecord& own);
    void replace(const CallPermit&, const CallRecord&);

    TableService& m_tables;
    const Clock& m_clock;
};

}
