#include <LibPlatform/HttpVmList.h>

#include <LibCore/Error.h>
#include <LibPlatform/TableWire.h>

#include <QJsonArray>

namespace Chicorydock {

HttpVmList::HttpVmList(const std::string& address, Milliseconds timeout, const std::string& failureDomain)
    : m_http(address, timeout, failureDomain)
{
}

std::vector<VmEntry> HttpVmList::list()
{
    const auto response = m_http.send("GET", "/vms");
    if (response.status != 200) {
        throw Error(
            ErrorKind::PlatformUnavailable, "the VM list answered with status " + std::to_string(response.status));
    }
    try {
        std::vector<VmEntry> entries;
        for (const QJsonValue& value : TableWire::parse(response.body.toStdString())["vms"].toArray())
            entries.push_back(TableWire::vmEntryFromJson(value.toObject()));
        return entries;
    } catch (const Error& error) {
        throw Error(ErrorKind::PlatformUnavailable, "the VM list is malformed: " + error.message());
    }
}

}
