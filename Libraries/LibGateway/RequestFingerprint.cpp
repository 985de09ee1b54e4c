#include <LibGateway/RequestFingerprint.h>

#include <LibCore/Digest.h>

#include <QByteArrayList>

namespace Chicorydock {

std::string requestFingerprint(const HttpRequest& request, const std::optional<std::string>& workspace)
{
    const QByteArray credentials = workspace ? QByteArray::fromStdString(*workspace)
                                             : request.headers.find("Authorization").value_or(QByteArray());
    const QByteArrayList fields { request.method, request.headers.find("Host").value_or(QByteArray()).toLower(),
        request.target, credentials, request.body };
    uint64_t hash = 0;
    for (const QByteArray& it : fields)
        hash = stableHash({ it.constData(), static_cast<size_t>(it.size()) }, hash);
    return "request:" + QByteArray::number(static_cast<qulonglong>(hash), 16).toStdString();
}

}
