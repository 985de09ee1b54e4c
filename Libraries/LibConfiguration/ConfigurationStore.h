#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibCore/Clock.h>
#include <LibPlatform/TableService.h>

namespace Chicorydock {

/// One entry of the history of the configuration.
struct RevisionInfo {
    uint64_t revision { 0 };
    std::string author;
    std::string requestId;
    WallTime accepted;

    auto operator<=>(const RevisionInfo&) const = default;
};

/// The revisions of the configuration in the platform's table `config`: immutable rows `revision/N`, a row `head` with
/// the highest revision, and rows `request/ID` that map a request id to its revision.
///
/// Thread safety: all methods may be called from any thread; they block like those of `TableService`. All throw
/// Error(PlatformUnavailable) while the platform is down.
class ConfigurationStore {
public:
    /// Older revisions are removed. 14,000 changes a day of about 80 KB would otherwise fill a gigabyte a day.
    static constexpr uint64_t defaultRetainedRevisions = 1000;

    ConfigurationStore(TableService& table, const Clock& clock, uint64_t retainedRevisions = defaultRetainedRevisions)
        : m_table(table)
        , m_clock(clock)
        , m_retainedRevisions(retainedRevisions)
    {
    }

    /// Puts a configuration into force as the revision after `expectedRevision` (0: there is none yet) and returns the
    /// revision. A change with a request id that was accepted before returns its revision again.
    ///
    /// Throws Error(InvalidConfiguration); Error(Conflict), which names the current revision, if the expected one is
    /// not in force or the request id belongs to another change; Error(OutcomeUnknown) if the change may have taken
    /// effect: sending it again with the same request id is safe.
    uint64_t apply(const Configuration&, uint64_t expectedRevision);

    /// Returns the highest revision, 0 if there is none.
    uint64_t head();

    /// Returns the configuration of a revision, or nothing if there is none or it was removed.
    std::optional<Configuration> fetch(uint64_t revision);

    /// Returns up to `limit` revisions, newest first.
    std::vector<RevisionInfo> history(uint32_t limit);

private:
    struct Head {
        uint64_t revision { 0 };
        uint64_t rowVersion { 0 };
    };

    Head readHead();
    std::optional<uint64_t> findRequest(const Configuration&, const std::string& digest, uint64_t current);
    Transaction makeTransaction(Configuration, const std::string& digest, Head);
    void addRemovalOfOldRevision(Transaction&, uint64_t newRevision);

    TableService& m_table;
    const Clock& m_clock;
    uint64_t m_retainedRevisions;
};

}
