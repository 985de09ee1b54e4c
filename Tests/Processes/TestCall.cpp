#include "TestCall.h"

#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

#include <QJsonDocument>

namespace Chicorydock {

TestCall::TestCall(HttpClient& client, const HttpCallRequest& request)
    : m_call(client.start(request, *this))
{
}

void TestCall::onHeaders(int status, const HttpHeaders& headers)
{
    m_response.status = status;
    m_response.headers = headers;
}

QJsonObject TestCall::json() const { return QJsonDocument::fromJson(m_response.body).object(); }

std::string TestCall::errorKind() const
{
    return json().value("error").toObject().value("kind").toString().toStdString();
}

TestCall& TestCall::wait()
{
    REQUIRE(waitFor([this] { return hasEnded(); }));
    return *this;
}

}
