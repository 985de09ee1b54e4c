#pragma once

#include <QEventLoop>
#include <QObject>

#include <functional>
#include <future>
#include <thread>

namespace Chicorydock {

/// Runs a Qt event loop on a separate thread. `Service` is created, used and destroyed on that thread.
template <typename Service> class EventLoopThread {
public:
    explicit EventLoopThread(std::function<std::unique_ptr<Service>()> make)
    {
        std::promise<QEventLoop*> ready;
        std::future<QEventLoop*> loop = ready.get_future();
        m_thread = std::thread([this, make = std::move(make), &ready] {
            QEventLoop eventLoop;
            const std::unique_ptr<Service> service = make();
            m_service = service.get();
            QMetaObject::invokeMethod(
                &eventLoop, [&] { ready.set_value(&eventLoop); }, Qt::QueuedConnection);
            eventLoop.exec();
        });
        m_loop = loop.get();
    }
    ~EventLoopThread()
    {
        QMetaObject::invokeMethod(m_loop, &QEventLoop::quit, Qt::QueuedConnection);
        m_thread.join();
    }

    const Service& service() const { return *m_service; }

private:
    QEventLoop* m_loop { nullptr };
    Service* m_service { nullptr };
    std::thread m_thread;
};

}
