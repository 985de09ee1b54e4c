#include <LibPlatform/HttpObjectStore.h>

#include <LibCore/Error.h>

namespace Chicorydock {

namespace {

    QByteArray pathOf(std::string_view name)
    {
        return "/objects/" + QByteArray(name.data(), static_cast<qsizetype>(name.size())).toPercentEncoding("/");
    }

}

HttpObjectStore::HttpObjectStore(const std::string& address, Milliseconds timeout, const std::string& failureDomain)
    : m_http(address, timeout, failureDomain)
{
}

void HttpObjectStore::put(std::string_view name, std::string_view content)
{
    const auto response
        = m_http.send("PUT", pathOf(name), QByteArray(content.data(), static_cast<qsizetype>(content.size())));
    if (response.status != 200)
        throwPlatformError(response);
}

std::optional<std::string> HttpObjectStore::get(std::string_view name)
{
    const auto response = m_http.send("GET", pathOf(name));
    if (response.status == 404)
        return {};
    if (response.status != 200) {
        throw Error(ErrorKind::PlatformUnavailable,
            "the object store answered a read with status " + std::to_string(response.status));
    }
    return response.body.toStdString();
}

void HttpObjectStore::remove(std::string_view name)
{
    const auto response = m_http.send("DELETE", pathOf(name));
    if (response.status != 200)
        throwPlatformError(response);
}

}
