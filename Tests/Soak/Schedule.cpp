#include "Schedule.h"

#include <algorithm>
#include <array>
#include <random>

namespace Chicorydock {

namespace {

    using Action = Step::Action;
    using Fault = StoreFront::Fault;

    /// Time for the nodes to find each other and the endpoints before the first step.
    constexpr double firstMs = 3'000;
    /// Time after the last step in which a stop ends.
    constexpr double lastMs = 10'000;

    class Draw {
    public:
        Draw(uint64_t seed, const ScheduleOptions& options)
            : m_random(seed)
            , m_options(options)
        {
        }

        std::vector<Step> steps()
        {
            for (double at = firstMs; at < m_options.durationMs - lastMs; at += between(300, 2'800))
                addEpisode(at);
            std::ranges::stable_sort(m_steps, {}, &Step::atMs);
            return std::move(m_steps);
        }

    private:
        double between(double from, double to) { return std::uniform_real_distribution(from, to)(m_random); }
        size_t below(size_t count) { return std::uniform_int_distribution<size_t>(0, count - 1)(m_random); }

        void add(double at, Action action, size_t node = 0) { m_steps.push_back({ at, action, node }); }

        void addFault(double at, std::vector<Fault> faults)
        {
            m_steps.push_back({ at, Action::Fault, 0, faults[below(faults.size())] });
            m_steps.push_back({ at + between(500, 4'000), Action::Fault, 0, Fault::None });
        }

        void addEpisode(double at)
        {
            const size_t node = below(m_options.nodes);
            const size_t kind = m_options.stopsOnly ? below(3) : below(11);
            if (kind == 0) {
                add(at, Action::Terminate, node);
            } else if (kind == 1) {
                add(at, Action::Terminate, node);
                add(at + between(0, 50), Action::Terminate, (node + 3 * (1 + below(3))) % m_options.nodes);
            } else if (kind == 2) {
                add(at, Action::Terminate, node);
                addFault(std::max(0.0, at + between(-2'000, 2'000)),
                    m_options.stopsOnly ? std::vector { Fault::HistoryDropped, Fault::Closing }
                                        : std::vector { Fault::Silent, Fault::Refusing, Fault::Slow, Fault::Closing,
                                            Fault::HistoryDropped });
            } else if (kind == 3) {
                add(at, Action::Terminate, node);
                add(at + between(10, 6'000), Action::TerminateAgain, node);
            } else if (kind == 4) {
                add(at, Action::Reload, node);
                add(at + between(0, 1'500), Action::Terminate, node);
            } else if (kind == 5) {
                add(at, Action::Terminate, node);
                add(at + between(0, 3'000), Action::Reload, node);
            } else if (kind == 6) {
                add(at, Action::Freeze, node);
                add(at + between(0, 800), Action::Terminate, node);
                add(at + between(800, 1'800), Action::Resume, node);
            } else if (kind == 7) {
                add(at, Action::Kill, node);
            } else if (kind == 8) {
                add(at, Action::Terminate, node);
                add(at, Action::TerminateInStart, node);
            } else if (kind == 9) {
                add(at + between(-1'000, 1'000), Action::Configure);
                add(at, Action::Terminate, node);
            } else {
                add(at, Action::Terminate, node);
                add(at + between(0, 3'000), Action::Reset, below(100));
            }
        }

        std::mt19937_64 m_random;
        const ScheduleOptions& m_options;
        std::vector<Step> m_steps;
    };

}

std::vector<Step> drawSchedule(uint64_t seed, const ScheduleOptions& options) { return Draw(seed, options).steps(); }

const char* nameOf(Action action)
{
    static constexpr std::array names { "SIGTERM", "second SIGTERM", "SIGTERM during the next start", "SIGHUP",
        "SIGSTOP", "SIGCONT", "SIGKILL", "configuration", "store", "reset of an endpoint's connections" };
    return names.at(static_cast<size_t>(action));
}

const char* nameOf(Fault fault)
{
    static constexpr std::array names { "serves", "is silent", "refuses", "is slow", "closes connections",
        "has dropped its history" };
    return names.at(static_cast<size_t>(fault));
}

}
