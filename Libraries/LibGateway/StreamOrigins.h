#pragma once

#include <LibGateway/DefaultVersions.h>
#include <LibGateway/StreamOrigin.h>
#include <LibPlatform/RowStore.h>
#include <LibPlatform/TableFollower.h>

#include <QObject>
#include <QTimer>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Chicorydock {

/// Remembers in the store where streams began, so that a node that never saw a stream can resume it at the software
/// version that began it, also after all nodes have failed together. A record is written before the caller receives
/// the first event. Streams that began at the default version of their service need none (see `DefaultVersions`).
///
/// Thread safety: used on the thread that created it.
class StreamOrigins final : public QObject, private TableListener {
public:
    /// The store and the clock outlive the object.
    StreamOrigins(RowStore&, const Clock&);
    ~StreamOrigins() override;

    /// Returns the name of the table of default versions.
    static const std::string& defaultTable();

    void start() { m_follower.start(); }

    /// Whether the default versions are known.
    bool isListed() const { return m_follower.isListed(); }

    /// Returns whether a stream that begins there has to be recorded.
    bool needsRecord(const StreamOrigin&) const;

    /// Returns whether records cannot be written at the moment: the latest attempt failed, or the store is unreachable.
    bool isFailing() const { return m_isFailing || !m_isStoreReachable; }

    /// Records whether the store responds to other calls.
    void setStoreReachable(bool);

    /// Writes the record of a stream. `onRecorded` is called once it is in the store; not at all if that fails for too
    /// long.
    void record(const std::string& stream, const StreamOrigin&, std::function<void()> onRecorded);

    /// Returns where the stream began, or nothing if that cannot be known. A stream without a record is taken for one
    /// of `service`, if that is given, at the default version that the store has now.
    void find(const std::string& stream, const std::optional<std::string>& service,
        RowStore::Reply<std::optional<StreamOrigin>>);

    /// Reads the default version of the service from the store, because the known one may be old: this process may have
    /// stood still.
    void readDefault(const std::string& service, RowStore::Reply<std::optional<std::string>>);

    /// Returns the default version of the service, or nothing if all its streams are recorded.
    std::optional<std::string> defaultVersion(const std::string& service) const { return m_defaults.find(service); }

    /// Changes the default versions if that is due, given the versions of all endpoints. Only one of the nodes needs to
    /// call this; if several do, one of them succeeds. Precondition: the default versions are known.
    void updateDefaults(const std::map<std::string, VersionCounts>& services);

    /// Removes the records of this node that are no longer needed.
    void removeOldRecords();

    /// Replaces a default version, as if the store had reported it.
    void setDefault(const DefaultVersion& row) { m_defaults.put(row); }

private:
    struct PendingRecord {
        RowTransaction transaction;
        std::function<void()> onRecorded;
        MonotonicTime expiresAt;
    };

    struct WrittenRecord {
        RowAddress row;
        MonotonicTime at;
    };

    // TableListener
    void onTableListed(const TableListing&) override;
    void onRowsChanged(const std::vector<StoredRow>&) override;
    void onReachableChanged(bool) override { }

    void commit(const std::shared_ptr<PendingRecord>&);
    /// Replies with the default version of the service as the origin of a stream without a record.
    void replyWithDefault(const std::string& service, const RowStore::Reply<std::optional<StreamOrigin>>&);
    void retry(const std::shared_ptr<PendingRecord>&);

    RowStore& m_store;
    const Clock& m_clock;
    DefaultVersions m_defaults;
    TableFollower m_follower;
    bool m_isFailing { false };
    bool m_isStoreReachable { true };
    /// In the order in which they were written.
    std::deque<WrittenRecord> m_written;
    std::shared_ptr<bool> m_lifetime { std::make_shared<bool>(true) };
};

}
