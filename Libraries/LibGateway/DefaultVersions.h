#pragma once

#include <LibCore/Clock.h>

#include <QByteArray>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// The software version at which the streams of a service began that have no record of their own. All nodes share it
/// through one row of the store.
struct DefaultVersion {
    std::string service;
    /// Nothing while all streams of the service are recorded, whatever their version.
    std::optional<std::string> softwareVersion;
    /// Time by the store's clock at which the version was set.
    Milliseconds since { 0 };
    /// Version of the row in the store, 0 before it is written.
    uint64_t rowVersion { 0 };

    auto operator<=>(const DefaultVersion&) const = default;
};

QByteArray encodeDefaultVersion(const DefaultVersion&);
/// Returns nothing if the row holds no valid content.
std::optional<DefaultVersion> decodeDefaultVersion(
    const std::string& service, const QByteArray& value, uint64_t rowVersion);

/// Number of endpoints by software version, leaving ones included.
using VersionCounts = std::map<std::string, size_t>;

/// Decides at which version the streams of a service need no record. While a service has one version, as it has most
/// of the time, none of its streams needs one. The default version never changes directly to another one: in between,
/// all streams are recorded for longer than any stream without a record may still be resumed, and than a node may use
/// an old default. Load: streams of services that are released while nodes and endpoints fail.
///
/// Thread safety: none.
class DefaultVersions {
public:
    /// Ignores a row that is older than the known one.
    void put(const DefaultVersion&);

    /// Returns the default version of the service, or nothing if all its streams have to be recorded.
    std::optional<std::string> find(const std::string& service) const;

    /// Returns the rows that have to change, given the versions of the endpoints of all services. `storeTime` is the
    /// time by the store's clock.
    std::vector<DefaultVersion> dueChanges(
        const std::map<std::string, VersionCounts>& services, Milliseconds storeTime) const;

private:
    std::optional<DefaultVersion> dueChange(
        const std::string& service, const VersionCounts&, Milliseconds storeTime) const;

    std::map<std::string, DefaultVersion> m_services;
};

}
