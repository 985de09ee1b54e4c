#include <LibHTTP/HttpResponseReader.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <vector>

DEFINE_int32(responses, 200'000, "responses of each kind in each round");
DEFINE_int32(rounds, 7, "rounds, of which the median is reported");
DEFINE_string(commit, "", "commit to record in every row");

using namespace Chicorydock;

namespace {

/// Counts what it gets, so that reading is not optimised away.
class CountingListener final : public HttpResponseListener {
public:
    void onResponseHeaders(int, const HttpHeaders& headers) override { m_count += headers.fields().size(); }
    void onResponseBody(QByteArrayView data) override { m_count += static_cast<size_t>(data.size()); }

    size_t count() const { return m_count; }

private:
    size_t m_count { 0 };
};

/// A response as an endpoint sends it, in the pieces in which it arrives.
struct Kind {
    const char* name;
    std::vector<QByteArray> pieces;
};

const QByteArray head = "HTTP/1.1 200 OK\r\nRequest-Id: 9c41d07be2a35f68\r\n"
                        "Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nServer-Load: 3,0,8,100\r\n"
                        "Keep-Alive: timeout=5\r\nWeight-Versions: 1\r\n";

std::vector<Kind> kinds()
{
    const QByteArray record = head + "Content-Length: 800\r\n\r\n" + QByteArray(800, 'x');
    const QByteArray event = "id: 17\ndata: 0123456789abcdef0123456789abcdef\n\n";
    Kind stream { "stream of 21 chunks", { head + "Transfer-Encoding: chunked\r\n\r\n" } };
    for (int n = 0; n < 21; ++n)
        stream.pieces.push_back(QByteArray::number(event.size(), 16) + "\r\n" + event + "\r\n");
    stream.pieces.emplace_back("0\r\n\r\n");
    Kind bytes { "800 bytes in single bytes", {} };
    for (const char it : record)
        bytes.pieces.emplace_back(1, it);
    return { { "800 bytes", { record } }, stream, bytes };
}

double cpuSeconds()
{
    timespec time {};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

/// Returns the processor time of a response, in microseconds. Returns nothing valid for a response that is not taken.
double measure(const Kind& kind, int responses)
{
    CountingListener listener;
    HttpResponseReader reader(listener);
    const double before = cpuSeconds();
    for (int n = 0; n < responses; ++n) {
        reader.reset("POST");
        for (const QByteArray& it : kind.pieces) {
            QByteArrayView input = it;
            if (!reader.consume(input))
                return -1;
        }
        if (!reader.isComplete())
            return -1;
    }
    return listener.count() > 0 ? (cpuSeconds() - before) * 1e6 / responses : -1;
}

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("measures the processor time that reading a response takes");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const Kind& kind : kinds()) {
        const int responses = std::max(1, FLAGS_responses / static_cast<int>(kind.pieces.size()));
        std::vector<double> rounds;
        for (int n = 0; n < FLAGS_rounds; ++n)
            rounds.push_back(measure(kind, responses));
        std::ranges::sort(rounds);
        std::printf(
            "{\"benchmark\":\"responses\",\"kind\":\"%s\",\"cpu_us\":%.3f,\"least_us\":%.3f,\"commit\":\"%s\"}\n",
            kind.name, rounds[rounds.size() / 2], rounds.front(), FLAGS_commit.c_str());
    }
}
