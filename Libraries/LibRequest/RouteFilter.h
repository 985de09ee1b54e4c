#pragma once

#include <LibRequest/Filter.h>

namespace Chicorydock {

/// Finds the route of a request from its method and path, and the parts of the path that name things.
class RouteFilter final : public Filter {
public:
    void handle(const RequestContextPtr&, const Next&) override;
};

}
