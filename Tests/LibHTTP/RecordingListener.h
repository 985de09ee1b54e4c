#pragma once

#include <LibHTTP/HttpResponseReader.h>

namespace Chicorydock {

/// Keeps what an `HttpResponseReader` reports.
class RecordingListener final : public HttpResponseListener {
public:
    int heads { 0 };
    int status { 0 };
    HttpHeaders headers;
    QByteArray body;

    void onResponseHeaders(int newStatus, const HttpHeaders& newHeaders) override
    {
        ++heads;
        status = newStatus;
        headers = newHeaders;
    }
    void onResponseBody(QByteArrayView data) override { body += data; }
};

}
