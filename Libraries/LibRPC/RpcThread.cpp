#include <LibRPC/RpcThread.h>

#include <cassert>
#include <exception>
#include <future>
#include <utility>

namespace Chicorydock {

RpcThread::RpcThread()
    : m_thread([this] { runLoop(); })
{
    // Callers may use the provider as soon as the constructor has returned.
    run([] {});
}

RpcThread::~RpcThread() { stop(); }

void RpcThread::post(std::function<void()> function)
{
    const std::lock_guard guard(m_mutex);
    if (m_isStopping)
        return;
    m_posted.push_back(std::move(function));
    if (m_wake.get() != nullptr) {
        m_wake->fulfill();
        m_wake = nullptr;
    }
}

void RpcThread::run(const std::function<void()>& function)
{
    assert(std::this_thread::get_id() != m_thread.get_id());
    std::promise<void> done;
    post([&] {
        try {
            function();
            done.set_value();
        } catch (...) {
            done.set_exception(std::current_exception());
        }
    });
    done.get_future().get();
}

void RpcThread::stop()
{
    {
        const std::lock_guard guard(m_mutex);
        m_isStopping = true;
        if (m_wake.get() != nullptr) {
            m_wake->fulfill();
            m_wake = nullptr;
        }
    }
    if (m_thread.joinable())
        m_thread.join();
}

std::vector<std::function<void()>> RpcThread::drainPosted(kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake)
{
    const std::lock_guard guard(m_mutex);
    if (m_posted.empty() && !m_isStopping)
        m_wake = kj::mv(wake);
    return std::exchange(m_posted, {});
}

void RpcThread::runLoop()
{
    auto io = kj::setupAsyncIo();
    m_provider = io.provider.get();
    while (true) {
        auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
        const auto functions = drainPosted(kj::mv(pair.fulfiller));
        for (const auto& it : functions)
            it();
        if (!functions.empty()) {
            // Connections must make progress even if functions are posted without a pause.
            io.waitScope.poll();
            continue;
        }
        {
            const std::lock_guard guard(m_mutex);
            if (m_isStopping)
                break;
        }
        pair.promise.wait(io.waitScope);
    }
    m_provider = nullptr;
}

}
