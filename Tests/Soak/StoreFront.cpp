#include "StoreFront.h"

namespace Chicorydock {

namespace {

    /// Time by which a slow store answers later.
    constexpr double slowMs = 700;

    /// Connection of one thread to the store.
    class StoreLink {
    public:
        ~StoreLink() { close(); }

        Review::Answer call(const std::string& store, const std::string& bytes)
        {
            // A feed is answered after its own wait, which is 30 s at most.
            static constexpr double timeoutMs = 32'000;
            if (m_fd < 0)
                m_fd = Review::connectTo(store);
            if (!m_reader)
                m_reader = std::make_unique<Review::Reader>(m_fd, 0);
            m_reader->setUntil(Review::now() + timeoutMs);
            Review::Answer answer;
            std::string line;
            if (Review::sendAll(m_fd, bytes) && m_reader->readLine(line) && line.size() > 12
                && m_reader->readHeaders(answer.headers) && m_reader->readBody(answer.headers, answer.body))
                answer.status = std::stoi(line.substr(9, 3));
            else
                close();
            return answer;
        }

    private:
        void close()
        {
            if (m_fd >= 0)
                ::close(m_fd);
            m_fd = -1;
            m_reader.reset();
        }

        int m_fd { -1 };
        std::unique_ptr<Review::Reader> m_reader;
    };

}

StoreFront::StoreFront(const Review::Store& store)
    : m_store(store.address())
    , m_server([this](const Review::Request& request, Review::Connection& connection) { handle(request, connection); })
{
}

void StoreFront::handle(const Review::Request& request, Review::Connection& connection)
{
    while (m_fault == Fault::Silent && !connection.isClosed())
        Review::sleepMs(20);
    if (m_fault == Fault::Slow)
        Review::sleepMs(slowMs);
    if (m_fault == Fault::Refusing)
        connection.answer(503, {}, "{}");
    else if (m_fault == Fault::Closing)
        connection.close();
    else if (m_fault == Fault::HistoryDropped && request.path() == "/api/rows-feed")
        connection.answer(410, {}, "{}");
    else
        pass(request, connection);
}

void StoreFront::pass(const Review::Request& request, Review::Connection& connection) const
{
    static thread_local StoreLink link;
    std::string bytes = request.method + ' ' + request.target
        + " HTTP/1.1\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
    const Review::Answer answer = link.call(m_store, bytes);
    const Fault fault = m_fault;
    // A call that was under way when the fault began has no response, but may have been performed.
    if (answer.status == 0 || fault == Fault::Closing || fault == Fault::Silent) {
        connection.close();
        return;
    }
    connection.answer(answer.status, { { "Content-Type", "application/json" } }, answer.body);
}

}
