#include <LibCore/Error.h>
#include <Tests/Fakes/engine/FakeEngine.h>

#include <QCoreApplication>
#include <QString>

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(address, "127.0.0.1:0", "HOST:PORT to listen on; port 0 selects a free port");
DEFINE_double(prefill_ms, 0.1, "prefill time per prompt token, in ms");
DEFINE_double(base_gap_ms, 5, "time between two tokens of a stream that runs alone, in ms");
DEFINE_double(gap_slope_ms, 0.2, "time that each concurrent stream adds to base_gap_ms, in ms");
DEFINE_uint32(max_running, 256, "largest number of streams in the batch");
DEFINE_uint32(max_waiting, 4096, "streams that wait for admission to the batch; further requests get status 429");
DEFINE_uint32(min_tokens, 16, "shortest completion without a token limit");
DEFINE_uint32(max_tokens, 128, "longest completion without a token limit");
DEFINE_double(straggler_share, 0, "share of prompts with a much longer completion");
DEFINE_uint32(straggler_factor, 50, "factor by which those completions are longer");
DEFINE_uint32(cache_tokens, 200'000, "size of the prefix cache, in tokens");
DEFINE_uint32(cache_event_delay_ms, 0, "delay until a cache event is published");
DEFINE_double(cache_event_loss, 0, "share of cache events that are never published");
DEFINE_uint32(load_delay_ms, 0, "age of load reports");
DEFINE_uint32(order_ms, 0, "time that the execution of an order takes");
DEFINE_bool(check_fencing, true, "refuse orders with an outdated fencing number");
DEFINE_string(models, "", "loaded models, separated by commas; empty serves every model");
DEFINE_string(role, "mixed", "initial role");
DEFINE_bool(allow_poison, false, "exit when a prompt contains the poison marker");
DEFINE_string(poison_marker, "POISON", "word that makes the engine exit");
DEFINE_uint64(seed, 1, "seed of the lost cache events");

using namespace Chicorydock;

namespace {

Microseconds toMicroseconds(double milliseconds) { return Microseconds { static_cast<int64_t>(milliseconds * 1000) }; }

EngineSettings makeSettings()
{
    EngineSettings settings { .prefillPerToken = toMicroseconds(FLAGS_prefill_ms),
        .baseGap = toMicroseconds(FLAGS_base_gap_ms),
        .gapPerStream = toMicroseconds(FLAGS_gap_slope_ms),
        .maxRunning = FLAGS_max_running,
        .maxWaiting = FLAGS_max_waiting,
        .minTokens = FLAGS_min_tokens,
        .maxTokens = std::max(FLAGS_min_tokens, FLAGS_max_tokens),
        .stragglerShare = FLAGS_straggler_share,
        .stragglerFactor = FLAGS_straggler_factor,
        .cacheTokens = FLAGS_cache_tokens,
        .cacheEventDelay = Milliseconds { FLAGS_cache_event_delay_ms },
        .cacheEventLoss = FLAGS_cache_event_loss,
        .loadDelay = Milliseconds { FLAGS_load_delay_ms },
        .orderTime = Milliseconds { FLAGS_order_ms },
        .checkFencing = FLAGS_check_fencing,
        .models = {},
        .role = FLAGS_role,
        .allowPoison = FLAGS_allow_poison,
        .poisonMarker = FLAGS_poison_marker,
        .seed = FLAGS_seed };
    for (const QString& it : QString::fromStdString(FLAGS_models).split(',', Qt::SkipEmptyParts))
        settings.models.push_back(it.trimmed().toStdString());
    return settings;
}

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("models an engine with continuous batching");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const QCoreApplication application(argc, argv);
    FakeEngine engine(makeSettings());
    try {
        const unsigned port = engine.listen(FLAGS_address);
        const std::string host = FLAGS_address.substr(0, FLAGS_address.rfind(':'));
        std::printf("{\"address\":\"%s:%u\"}\n", host.c_str(), port);
        std::fflush(stdout);
    } catch (const Error& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
    return QCoreApplication::exec();
}
