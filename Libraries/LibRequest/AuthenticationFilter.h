#pragma once

#include <LibCore/RcuCell.h>
#include <LibRequest/Filter.h>

namespace Chicorydock {

/// Binds the request, for its lifetime, to the configuration in force, and looks up the workspace of its key.
class AuthenticationFilter final : public Filter {
public:
    explicit AuthenticationFilter(const RcuCell<Configuration>&);

    void handle(const RequestContextPtr&, const Next&) override;

private:
    const RcuCell<Configuration>& m_configuration;
};

}
