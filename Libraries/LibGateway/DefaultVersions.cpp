#include <LibGateway/DefaultVersions.h>

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace Chicorydock {

namespace {

    /// Time for which all streams are recorded before the next default version. A stream is resumed within its
    /// caller's deadline, 30 s unless stated; the rest is for nodes that learn late that the default has ended.
    constexpr Milliseconds recordingTime { 60'000 };

}

QByteArray encodeDefaultVersion(const DefaultVersion& row)
{
    QJsonObject object { { "since_ms", static_cast<qint64>(row.since.count()) } };
    if (row.softwareVersion)
        object["software_version"] = QString::fromStdString(*row.softwareVersion);
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

std::optional<DefaultVersion> decodeDefaultVersion(
    const std::string& service, const QByteArray& value, uint64_t rowVersion)
{
    const QJsonObject object = QJsonDocument::fromJson(value).object();
    if (!object["since_ms"].isDouble())
        return {};
    DefaultVersion row { service, {}, Milliseconds { object["since_ms"].toInteger() }, rowVersion };
    if (object["software_version"].isString())
        row.softwareVersion = object["software_version"].toString().toStdString();
    return row;
}

void DefaultVersions::put(const DefaultVersion& row)
{
    DefaultVersion& known = m_services[row.service];
    if (row.rowVersion >= known.rowVersion)
        known = row;
}

std::optional<std::string> DefaultVersions::find(const std::string& service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? std::nullopt : it->second.softwareVersion;
}

std::vector<DefaultVersion> DefaultVersions::dueChanges(
    const std::map<std::string, VersionCounts>& services, Milliseconds storeTime) const
{
    std::vector<DefaultVersion> changes;
    for (const auto& [service, versions] : services) {
        if (auto change = dueChange(service, versions, storeTime))
            changes.push_back(std::move(*change));
    }
    return changes;
}

std::optional<DefaultVersion> DefaultVersions::dueChange(
    const std::string& service, const VersionCounts& versions, Milliseconds storeTime) const
{
    if (versions.empty())
        return {};
    const auto known = m_services.find(service);
    if (known == m_services.end()) {
        // Streams may have begun at any of several versions.
        const bool isSole = versions.size() == 1;
        return DefaultVersion { service, isSole ? std::optional(versions.begin()->first) : std::nullopt, storeTime };
    }
    const DefaultVersion& row = known->second;
    if (row.softwareVersion) {
        if (versions.contains(*row.softwareVersion))
            return {};
        return DefaultVersion { service, {}, storeTime, row.rowVersion };
    }
    if (storeTime - row.since < recordingTime)
        return {};
    const auto most = std::ranges::max_element(versions, {}, [](const auto& it) { return it.second; });
    return DefaultVersion { service, most->first, storeTime, row.rowVersion };
}

}
