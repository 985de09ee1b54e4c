#pragma once

#include <LibRequest/Filter.h>

namespace Chicorydock {

/// Serves `/v1/models` from the configuration in force.
class ModelRoutes final : public Filter {
public:
    void handle(const RequestContextPtr&, const Next&) override;
};

}
