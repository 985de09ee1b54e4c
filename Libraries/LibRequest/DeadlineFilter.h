#pragma once

#include <LibRequest/Filter.h>

namespace Chicorydock {

/// Sets the deadline of the request from its header, or to the default.
class DeadlineFilter final : public Filter {
public:
    explicit DeadlineFilter(Milliseconds defaultDeadline);

    void handle(const RequestContextPtr&, const Next&) override;

private:
    Milliseconds m_defaultDeadline;
};

}
