#include <LibConfiguration/ConfigurationController.h>

#include <LibConfiguration/ConfigurationDocument.h>
#include <LibCore/Error.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    // A few peers are enough, because the store is read after them.
    constexpr size_t maxSources = 8;

}

ConfigurationController::ConfigurationController(const Clock& clock, Random& random, PeerLink& link,
    ConfigurationStore& store, Post platform, Post controllers, RcuCell<Configuration>& published, Observer observer,
    Options options)
    : m_clock(clock)
    , m_random(random)
    , m_link(link)
    , m_store(store)
    , m_platform(std::move(platform))
    , m_controllers(std::move(controllers))
    , m_published(published)
    , m_observer(std::move(observer))
    , m_options(options)
    , m_current(published.read())
    , m_highestKnownRevision(m_current->revision)
    , m_retryDelay(options.firstRetryDelay)
{
}

void ConfigurationController::tick(MonotonicTime now)
{
    if (!m_nextStoreRead)
        scheduleStoreRead(now);
    if (m_highestKnownRevision > revision() && !m_isFetching && !m_sources.empty())
        fetchFromPeer();
    // The store is not read during a fetch from a peer, unless the node has no configuration at all.
    const bool isWaitingForPeer = m_isFetching && revision() > 0;
    if (now >= *m_nextStoreRead && !m_isReadingStore && !isWaitingForPeer)
        readStore();
}

void ConfigurationController::recordPeerRevision(uint64_t revision, const std::string& address)
{
    if (revision <= this->revision() || revision < m_highestKnownRevision)
        return;
    if (revision > m_highestKnownRevision) {
        m_highestKnownRevision = revision;
        m_sources.clear();
        m_retryDelay = m_options.firstRetryDelay;
        // If no peer answers in time, the store is read earlier than scheduled.
        const MonotonicTime soon = m_clock.now() + 2 * m_options.fetchTimeout;
        m_nextStoreRead = std::min(m_nextStoreRead.value_or(soon), soon);
    }
    if (m_sources.size() < maxSources && std::ranges::find(m_sources, address) == m_sources.end())
        m_sources.push_back(address);
    if (!m_isFetching)
        fetchFromPeer();
}

bool ConfigurationController::adopt(const Configuration& configuration)
{
    if (configuration.revision <= revision())
        return false;
    if (revision() > 0)
        m_earlier.push_front(m_current);
    if (m_earlier.size() > m_options.maxEarlierConfigurations)
        m_earlier.pop_back();
    m_documents.clear();
    m_current = std::make_shared<const Configuration>(configuration);
    if (configuration.revision >= m_highestKnownRevision) {
        m_highestKnownRevision = configuration.revision;
        m_sources.clear();
    }
    m_published.publish(m_current);
    if (m_observer)
        m_observer(*m_current);
    return true;
}

std::optional<std::string> ConfigurationController::document(uint64_t revision, uint64_t held)
{
    if (this->revision() == 0 || this->revision() < revision)
        return {};
    const auto base = std::ranges::find(m_earlier, held, [](const auto& it) { return it->revision; });
    const bool isDifference = base != m_earlier.end();
    const auto [it, isNew] = m_documents.try_emplace(isDifference ? held : 0);
    if (isNew)
        it->second = isDifference ? encodeDifference(**base, *m_current) : encodeDocument(*m_current);
    return it->second;
}

void ConfigurationController::fetchFromPeer()
{
    const std::string address = m_sources.front();
    m_sources.pop_front();
    m_isFetching = true;
    m_link.fetchRevision(address, m_highestKnownRevision, revision(), m_options.fetchTimeout,
        [this, lifetime = std::weak_ptr(m_lifetime)](const std::optional<std::string>& document) {
            if (!lifetime.expired())
                handleDocument(document);
        });
}

void ConfigurationController::handleDocument(const std::optional<std::string>& document)
{
    m_isFetching = false;
    if (document) {
        try {
            adopt(decodeDocument(*document, m_current.get()));
        } catch (const Error&) {
            // The document is fetched from the next peer or from the store instead.
        }
    }
    if (m_highestKnownRevision > revision() && !m_sources.empty())
        fetchFromPeer();
}

void ConfigurationController::readStore()
{
    m_isReadingStore = true;
    // The lifetime is only checked on the controllers' thread; the store outlives the platform threads.
    m_platform(
        [this, &store = m_store, controllers = m_controllers, held = revision(), lifetime = std::weak_ptr(m_lifetime)] {
            controllers([this, lifetime, result = fetchFromStore(store, held)] {
                if (!lifetime.expired())
                    handleStoreRead(result);
            });
        });
}

ConfigurationController::StoreReadResult ConfigurationController::fetchFromStore(
    ConfigurationStore& store, uint64_t held)
{
    try {
        StoreReadResult result;
        result.head = store.head();
        if (result.head > held)
            result.configuration = store.fetch(result.head);
        result.succeeded = true;
        return result;
    } catch (const Error&) {
        return {};
    }
}

void ConfigurationController::handleStoreRead(const StoreReadResult& result)
{
    m_isReadingStore = false;
    m_isStoreReachable = result.succeeded;
    if (result.configuration)
        adopt(*result.configuration);
    // A revision that is not in the store was never accepted.
    if (result.succeeded && result.head <= revision() && m_sources.empty())
        m_highestKnownRevision = revision();
    scheduleStoreRead(m_clock.now());
}

void ConfigurationController::scheduleStoreRead(MonotonicTime now)
{
    Milliseconds delay = m_options.headInterval;
    if (isMissingRevision()) {
        delay = m_retryDelay;
        m_retryDelay = std::min(2 * m_retryDelay, m_options.maxRetryDelay);
    } else {
        m_retryDelay = m_options.firstRetryDelay;
    }
    // Nodes that start or lose the store at the same time must not all read it at the same time.
    m_nextStoreRead = now + fromSeconds(toSeconds(delay) * (0.5 + m_random.unit()));
}

}
