#pragma once

#include <LibCore/RcuCell.h>
#include <LibRequest/Filter.h>

namespace Chicorydock {

/// Takes the configuration in force for the whole life of the request, and finds the workspace that its key belongs to.
class AuthenticationFilter final : public Filter {
public:
    explicit AuthenticationFilter(const RcuCell<Configuration>&);

    void handle(const RequestContextPtr&, const Next&) override;

private:
    const RcuCell<Configuration>& m_configuration;
};

}
