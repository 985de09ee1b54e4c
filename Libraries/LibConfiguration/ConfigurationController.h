#pragma once

#include <LibConfiguration/ConfigurationStore.h>
#include <LibCore/Post.h>
#include <LibCore/Random.h>
#include <LibCore/RcuCell.h>
#include <LibMembership/PeerLink.h>

#include <deque>
#include <map>

namespace Chicorydock {

/// Maintains the configuration in force at this node. It learns of higher revisions from gossip and, rarely, from the
/// store, fetches their documents from peers first, then from the store, and applies only a higher revision.
///
/// Thread safety: none; belongs to the controllers' thread. The store is called through a `Post` to a platform thread.
class ConfigurationController {
public:
    struct Options {
        /// Mean time between two reads of the head row. At 340 nodes this is 6 reads/s of the store's 2,000.
        Milliseconds headInterval { 60'000 };
        /// Time to the next read of the store while a known revision is missing; doubles up to `maxRetryDelay`.
        Milliseconds firstRetryDelay { 500 };
        Milliseconds maxRetryDelay { 30'000 };
        Milliseconds fetchTimeout { 1'000 };
        /// Earlier configurations are kept so that peers which hold one of them get only the difference.
        size_t maxEarlierConfigurations { 16 };
    };

    using Observer = std::function<void(const Configuration&)>;

    /// `platform` runs a function on a platform thread, `controllers` on the controllers' thread. `published` gets
    /// every configuration that comes into force; `observer` is called after that. All references outlive the
    /// controller.
    ConfigurationController(const Clock&, Random&, PeerLink&, ConfigurationStore&, Post platform, Post controllers,
        RcuCell<Configuration>& published, Observer observer, Options);

    /// Starts the fetches and reads that are due. Called several times a second.
    void tick(MonotonicTime now);

    /// Records that the peer at an address has a revision in force, and fetches the revision if it is missing.
    void recordPeerRevision(uint64_t revision, const std::string& address);

    /// Puts a configuration into force if its revision is higher than the one in force; for example one that this node
    /// has just stored for an operator. Returns whether it did.
    bool adopt(const Configuration&);

    /// Returns the document of the configuration in force if its revision is at least `revision`, or nothing. The
    /// document is a difference if the configuration of revision `held` is still kept.
    std::optional<std::string> document(uint64_t revision, uint64_t held);

    /// Returns the revision in force, 0 if there is none.
    uint64_t revision() const { return m_current->revision; }

    /// Returns whether the last read of the store succeeded.
    bool isStoreReachable() const { return m_isStoreReachable; }

private:
    struct StoreReadResult {
        bool succeeded { false };
        uint64_t head { 0 };
        std::optional<Configuration> configuration;
    };

    void fetchFromPeer();
    void handleDocument(const std::optional<std::string>& document);
    void readStore();
    void handleStoreRead(const StoreReadResult&);
    void scheduleStoreRead(MonotonicTime now);
    bool isMissingRevision() const { return m_highestKnownRevision > revision() || revision() == 0; }
    static StoreReadResult fetchFromStore(ConfigurationStore&, uint64_t held);

    const Clock& m_clock;
    Random& m_random;
    PeerLink& m_link;
    ConfigurationStore& m_store;
    Post m_platform;
    Post m_controllers;
    RcuCell<Configuration>& m_published;
    Observer m_observer;
    Options m_options;

    std::shared_ptr<const Configuration> m_current;
    /// Configurations that were in force before, newest first.
    std::deque<std::shared_ptr<const Configuration>> m_earlier;
    /// Documents already encoded for the configuration in force, by the revision that the requesting peer held.
    std::map<uint64_t, std::string> m_documents;

    uint64_t m_highestKnownRevision { 0 };
    /// Peers that have the highest known revision in force and were not tried yet.
    std::deque<std::string> m_sources;
    bool m_isFetching { false };
    bool m_isReadingStore { false };
    bool m_isStoreReachable { false };
    Milliseconds m_retryDelay;
    std::optional<MonotonicTime> m_nextStoreRead;
    /// Expires with the controller; late callbacks check it.
    std::shared_ptr<bool> m_lifetime { std::make_shared<bool>() };
};

}
