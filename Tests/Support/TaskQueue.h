#pragma once

#include <LibCore/Post.h>

#include <deque>

namespace Chicorydock {

/// Holds posted functions until the test runs them. Not thread safe.
class TaskQueue {
public:
    Post post()
    {
        return [this](std::function<void()> function) { m_functions.push_back(std::move(function)); };
    }

    /// Runs the posted functions, and those that they post, until none is left.
    void run()
    {
        while (!m_functions.empty()) {
            const auto function = std::move(m_functions.front());
            m_functions.pop_front();
            function();
        }
    }

private:
    std::deque<std::function<void()>> m_functions;
};

}
