#pragma once

#include <LibCore/Clock.h>
#include <LibPlatform/TableService.h>
#include <LibRequest/CallRecord.h>

#include <variant>

namespace Chicorydock {

/// A call that asks for permission to run.
struct CallClaim {
    std::string workspace;
    std::string key;
    std::string digest;
    bool isUnrepeatable { false };
    /// When the call is over, whatever became of it.
    WallTime deadline;
    /// Unique for each claim.
    std::string token;
};

/// The right to run a call, and with it the duty to say what became of it.
struct CallPermit {
    std::string row;
    uint64_t version { 0 };
    CallRecord record;
};

/// Durable records of calls with an idempotency key, in table `calls`, one row for each workspace and key. A row is
/// inserted, conditionally, before the call is sent, so that of all nodes that get the call only one sends it.
///
/// Thread safety: all methods may be called from any thread; they block on the platform.
class CallRecordStore {
public:
    CallRecordStore(TableService&, const Clock&);

    /// Returns the permit to run the call, or the answer that an earlier one got.
    /// Throws Error(KeyReused) if the key stands for another call, Error(CallInProgress) while an earlier one may still
    /// be answered, Error(MayHaveRun) if an earlier unrepeatable one was sent and its outcome cannot be known, and
    /// Error(PlatformUnavailable) if the record cannot be made sure of; the call must then not be sent.
    std::variant<CallPermit, HttpResponse> begin(const CallClaim&);

    /// Stores the answer for later resends. Throws Error(PlatformUnavailable) or Error(OutcomeUnknown); repeating the
    /// call is safe.
    void finish(const CallPermit&, const HttpResponse&);

    /// Stores that the outcome cannot be known. Throws as `finish()`.
    void finishAsMayHaveRun(const CallPermit&);

    /// Removes the record of a call that certainly was not sent, so that a resend may run. Throws as `finish()`.
    void abandon(const CallPermit&);

private:
    std::variant<CallPermit, HttpResponse> resolve(const CallClaim&, const std::string& rowKey, const CallRecord& own);
    CallPermit takeOver(const std::string& rowKey, const CallRecord& own, uint64_t expectedVersion);
    /// Writes the own record if the row has the expected version (0: none yet); returns nothing if it has another.
    std::optional<CallPermit> tryWrite(const std::string& rowKey, const CallRecord& own, uint64_t expectedVersion);
    CallPermit readBack(const std::string& rowKey, const CallRecord& own);
    void replace(const CallPermit&, const CallRecord&);

    TableService& m_tables;
    const Clock& m_clock;
};

}
