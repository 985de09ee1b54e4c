#pragma once

#include <LibHTTP/HttpMessage.h>

namespace Chicorydock {

/// One part of a `multipart/form-data` body.
struct MultipartPart {
    QByteArray name;
    QByteArray fileName;
    QByteArray content;

    bool operator==(const MultipartPart&) const = default;
};

/// Splits a body of the content type `multipart/form-data` (RFC 7578). Throws Error(MalformedRequest) with the reason.
/// May be called from any thread.
std::vector<MultipartPart> parseMultipart(const QByteArray& contentType, const QByteArray& body);

/// Returns the first part with the name, or null.
const MultipartPart* findPart(const std::vector<MultipartPart>&, QByteArrayView name);

}
