#pragma once

#include <LibRequest/Filter.h>

namespace Chicorydock {

/// Determines the route of a request from its method and path, and extracts the name of the addressed resource.
class RouteFilter final : public Filter {
public:
    void handle(const RequestContextPtr&, const Next&) override;
};

}
