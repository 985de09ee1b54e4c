#pragma once

#include <LibRequest/Filter.h>

namespace Chicorydock {

/// Checks the body of a generation, finds the model and service that a request is for, and whether it may be repeated.
class ClassifyFilter final : public Filter {
public:
    void handle(const RequestContextPtr&, const Next&) override;
};

/// Parses the body of a generation and checks the members that this system reads. Throws Error(MalformedRequest) with
/// the name of the member and what is expected. `path` is that of the request.
QJsonObject parseGenerationBody(const QByteArray& body, const QByteArray& path);

/// Throws Error(MalformedRequest) unless the members that this system reads are well formed.
void checkGenerationBody(const QJsonObject& body, const QByteArray& path);

}
