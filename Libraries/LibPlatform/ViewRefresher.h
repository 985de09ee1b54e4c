#pragma once

#include <functional>

namespace Chicorydock {

/// Brings a view of rows of the store up to date. The age of a view can't be told from the clock: a process that was
/// suspended does not notice, and a connection may be silent.
class ViewRefresher {
public:
    virtual ~ViewRefresher() = default;

    /// Calls `onDone` when the view contains all changes that were made before this call, with true, or when the store
    /// does not say, with false.
    virtual void refresh(std::function<void(bool isCurrent)> onDone) = 0;
};

}
