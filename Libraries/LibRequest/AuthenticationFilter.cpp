#include <LibRequest/AuthenticationFilter.h>

#include <LibCore/Digest.h>

namespace Chicorydock {

AuthenticationFilter::AuthenticationFilter(const RcuCell<Configuration>& configuration)
    : m_configuration(configuration)
{
}

void AuthenticationFilter::handle(const RequestContextPtr& context, const Next& next)
{
    context->configuration = m_configuration.read();
    // With an empty configuration, callers would get the error that their models do not exist.
    if (context->configuration->revision == 0)
        throw Error { ErrorKind::NotReady, "no configuration is in force at this node yet" };

    const auto value = context->exchange->request().headers.find("Authorization");
    const QByteArray scheme = "Bearer ";
    if (!value || !value->startsWith(scheme))
        throw Error { ErrorKind::Unauthorized, "the header Authorization must be 'Bearer KEY'" };
    const std::string digest = sha256Hex(value->mid(scheme.size()).trimmed().toStdString());
    context->workspace = context->configuration->findWorkspaceByKey(digest);
    if (!context->workspace)
        throw Error { ErrorKind::Unauthorized, "the key belongs to no workspace" };
    next(context);
}

}
