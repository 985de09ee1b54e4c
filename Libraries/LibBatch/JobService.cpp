#include <LibBatch/JobService.h>

namespace Chicorydock {

std::string_view stateName(JobView::State state)
{
    switch (state) {
    case JobView::State::InProgress:
        return "in_progress";
    case JobView::State::Completed:
        return "completed";
    case JobView::State::Cancelling:
        return "cancelling";
    case JobView::State::Cancelled:
        return "cancelled";
    }
    return {};
}

}
