#pragma once

#include <LibRequest/Filter.h>

namespace Chicorydock {

/// Validates the body of a generation, looks up the model and service of a request, and determines whether the request
/// may be repeated.
class ClassifyFilter final : public Filter {
public:
    void handle(const RequestContextPtr&, const Next&) override;
};

/// Parses the body of a generation and checks the members that this system reads. Throws Error(MalformedRequest) with
/// the name of the invalid member and the expected value. `path` is the path of the request.
QJsonObject parseGenerationBody(const QByteArray& body, const QByteArray& path);

/// Throws Error(MalformedRequest) unless the members that this system reads are well formed.
void checkGenerationBody(const QJsonObject& body, const QByteArray& path);

}
