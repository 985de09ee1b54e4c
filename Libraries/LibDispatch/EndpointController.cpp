#include <LibDispatch/EndpointController.h>

#include <LibCore/Error.h>

#include <QJsonDocument>

namespace Chicorydock {

namespace {

    constexpr std::string_view keyPrefix = "endpoint/";
    // Leaving is final, so its record has a higher version than any live record, and no clock is needed to order them.
    constexpr uint64_t liveVersion = 1;
    constexpr uint64_t leavingVersion = 2;

    std::string textOf(const QJsonObject& object, const char* key)
    {
        return object.value(QLatin1String(key)).toString().toStdString();
    }

}

EndpointController::EndpointController(std::string failureDomain, EventLog& eventLog,
    std::function<void(const GossipRecord&)> publish, std::function<void()> changed)
    : m_failureDomain(std::move(failureDomain))
    , m_eventLog(eventLog)
    , m_publish(std::move(publish))
    , m_changed(std::move(changed))
{
}

void EndpointController::addConfigured(const std::vector<KnownEndpoint>& endpoints)
{
    for (const KnownEndpoint& endpoint : endpoints) {
        m_configured.insert(endpoint.id);
        merge(endpoint, true);
    }
    publishSet();
}

void EndpointController::applyVmList(const std::vector<VmEntry>& entries)
{
    std::set<std::string> listed;
    for (const VmEntry& entry : entries) {
        if (entry.role != VmEntry::Role::Endpoint)
            continue;
        listed.insert(entry.id);
        merge({ entry.id, entry.address, entry.service, entry.region, entry.failureDomain, entry.leaving }, true);
    }
    for (const std::string& id : m_listed) {
        if (listed.contains(id) || m_configured.contains(id))
            continue;
        m_removed.insert(id);
        if (m_set.endpoints.erase(id) == 0)
            continue;
        m_eventLog.record("endpoint", "gone", id);
        m_isDirty = true;
    }
    m_listed = std::move(listed);
    publishSet();
}

void EndpointController::applyRecord(const GossipRecord& record)
{
    if (!record.key.starts_with(keyPrefix))
        return;
    const QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(record.value)).object();
    KnownEndpoint endpoint { record.key.substr(keyPrefix.size()), textOf(object, "address"), textOf(object, "service"),
        textOf(object, "region"), textOf(object, "failure_domain"), record.version >= leavingVersion };
    if (endpoint.address.empty() || endpoint.service.empty())
        return;
    merge(endpoint, false);
    publishSet();
}

void EndpointController::drain(const std::string& id)
{
    const KnownEndpoint* known = m_set.find(id);
    if (!known)
        throw Error { ErrorKind::NotFound, "no endpoint '" + id + "'" };
    KnownEndpoint leaving = *known;
    leaving.isLeaving = true;
    merge(leaving, true);
    publishSet();
}

GossipRecord EndpointController::toRecord(const KnownEndpoint& endpoint)
{
    const QJsonObject object {
        { "address", QString::fromStdString(endpoint.address) },
        { "service", QString::fromStdString(endpoint.service) },
        { "region", QString::fromStdString(endpoint.region) },
        { "failure_domain", QString::fromStdString(endpoint.failureDomain) },
    };
    return { std::string(keyPrefix) + endpoint.id, endpoint.isLeaving ? leavingVersion : liveVersion,
        QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString() };
}

bool EndpointController::isLeavingRecord(const GossipRecord& record)
{
    return record.key.starts_with(keyPrefix) && record.version >= leavingVersion;
}

void EndpointController::merge(const KnownEndpoint& endpoint, bool mayPublish)
{
    if (m_removed.contains(endpoint.id))
        return;
    const auto [it, isNew] = m_set.endpoints.try_emplace(endpoint.id, endpoint);
    if (!isNew && (it->second.isLeaving || !endpoint.isLeaving))
        return;
    it->second.isLeaving = endpoint.isLeaving;
    m_isDirty = true;
    m_eventLog.record("endpoint", endpoint.isLeaving ? "leaving" : "joined", endpoint.id);
    if (mayPublish && (endpoint.isLeaving || endpoint.failureDomain == m_failureDomain))
        m_publish(toRecord(it->second));
}

void EndpointController::publishSet()
{
    if (!m_isDirty)
        return;
    m_isDirty = false;
    m_published.publish(std::make_shared<const EndpointSet>(m_set));
    m_changed();
}

}
