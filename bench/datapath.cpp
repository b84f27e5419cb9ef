// Measures the data path on loopback: the latency added in comparison with direct calls to an engine in the same run, and the
// requests and streamed tokens per second and core of the entry.
// Usage: datapath [requests/s] [seconds] [tokens per request]

#include "app/shutdown.h"
#include "base/systemclock.h"
#include "config/keydigest.h"
#include "entry/entryservice.h"
#include "sidecar/sidecarservice.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <log4cplus/logger.h>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

using namespace Basilbend;
using Clock = std::chrono::steady_clock;

namespace
{

constexpr const char *Key = "key-of-the-benchmark";
constexpr std::size_t Sidecars = 16;
/// One 1 ms slice in ten sends a token on a given stream: 100 tokens per second and stream, one chunk per token.
constexpr int SlicesPerToken = 10;

/// An engine that sends one token every 10 ms on each stream.
class FixedRateEngine
{
public:
    explicit FixedRateEngine(std::size_t tokens)
        : m_tokens(tokens)
        , m_server("127.0.0.1", 0, 1, limits(), [this](const HttpRequest &request, std::unique_ptr<HttpResponder> responder) {
            handle(request, std::move(responder));
        })
    {
    }

    void stop()
    {
        m_server.stop();
        const std::lock_guard lock(m_mutex);
        m_streams.clear();
    }

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(m_server.port());
    }

    void tick(int slice)
    {
        const std::lock_guard lock(m_mutex);
        for (std::size_t i = 0; i < m_streams.size();) {
            auto &stream = m_streams[i];
            if (stream.slice != slice) {
                ++i;
                continue;
            }
            const bool isLast = ++stream.sent == m_tokens;
            stream.responder->write(stream.head + (isLast ? "\"stop\"}\n\ndata: [DONE]\n\n" : "null}\n\n"));
            if (!isLast) {
                ++i;
                continue;
            }
            stream.responder->end();
            std::swap(stream, m_streams.back());
            m_streams.pop_back();
        }
    }

    static HttpLimits limits()
    {
        HttpLimits limits;
        limits.maxConnections = 8000;
        return limits;
    }

private:
    struct Stream {
        std::unique_ptr<HttpResponder> responder;
        std::string head;
        std::size_t sent = 0;
        int slice = 0;
    };

    void handle(const HttpRequest &request, std::unique_ptr<HttpResponder> responder)
    {
        if (request.path != "/v1/completions") {
            responder->respond({200, R"({"version":7,"loading":false})", "application/json", {}});
            return;
        }
        const auto id = nlohmann::json::parse(request.body)["request_id"].dump();
        responder->begin(200, "text/event-stream", {});
        const std::lock_guard lock(m_mutex);
        m_nextSlice = (m_nextSlice + 1) % SlicesPerToken;
        m_streams.push_back({std::move(responder),
                             "data: {\"request_id\":" + id + ",\"text\":\"token \",\"tokens\":1,\"weight_version\":7,\"finish_reason\":",
                             0,
                             m_nextSlice});
    }

    std::size_t m_tokens;
    std::mutex m_mutex;
    std::vector<Stream> m_streams;
    int m_nextSlice = 0;
    HttpServer m_server;
};

std::set<std::string> threadIds()
{
    std::set<std::string> ids;
    for (const auto &item : std::filesystem::directory_iterator("/proc/self/task")) {
        ids.insert(item.path().filename().string());
    }
    return ids;
}

/// Returns the CPU time of these threads so far, in seconds.
double cpuSeconds(const std::set<std::string> &threads)
{
    double sum = 0;
    for (const auto &id : threads) {
        std::ifstream file("/proc/self/task/" + id + "/schedstat");
        double nanoseconds = 0;
        file >> nanoseconds;
        sum += nanoseconds / 1e9;
    }
    return sum;
}

double quantile(std::vector<double> &values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto at = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

/// Response times of one path, in ms.
struct ResponseTimes {
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<double> firstByteMs;
    std::vector<double> completeMs;
    std::size_t failed = 0;
    std::size_t open = 0;
};

/// Sends one request and records the times to its first byte and to the end of its response.
void sendTimed(HttpClient &client, HttpClientRequest request, ResponseTimes &times)
{
    struct State {
        Clock::time_point start = Clock::now();
        Clock::time_point firstByteAt;
        std::string tail;
    };
    auto state = std::make_shared<State>();
    {
        const std::lock_guard lock(times.mutex);
        ++times.open;
    }
    const auto ms = [](Clock::duration span) { return std::chrono::duration<double, std::milli>(span).count(); };
    const auto done = [state, &times, ms](const HttpClientResponse &response) {
        const std::lock_guard lock(times.mutex);
        const bool isComplete = response.failure == TransportFailure::None && response.status == 200 && state->tail.find("[DONE]") != std::string::npos;
        times.failed += isComplete ? 0 : 1;
        if (isComplete) {
            times.firstByteMs.push_back(ms(state->firstByteAt - state->start));
            times.completeMs.push_back(ms(Clock::now() - state->start));
        }
        --times.open;
        times.changed.notify_all();
    };
    client.send(std::move(request), done, [state](int, std::string_view data) {
        if (state->tail.empty()) {
            state->firstByteAt = Clock::now();
        }
        constexpr std::size_t TailBytes = 64;
        state->tail = (state->tail + std::string(data)).substr(std::max(state->tail.size() + data.size(), TailBytes) - TailBytes);
    });
}

HttpClientRequest completion(const std::string &url, std::size_t tokens, std::uint64_t number)
{
    HttpClientRequest request;
    request.method = "POST";
    request.url = url + "/v1/completions";
    request.headers["authorization"] = std::string("Bearer ") + Key;
    nlohmann::json body{{"model", "policy-lm"}, {"prompt", "a prompt of some words"}, {"max_tokens", tokens}, {"stream", true}};
    if (number > 0) {
        body["request_id"] = "direct-" + std::to_string(number);
    }
    request.body = body.dump();
    return request;
}

Configuration benchConfiguration()
{
    Configuration configuration;
    configuration.revision = 1;
    configuration.plans["basic"] = {"basic", 0, 0, 1};
    configuration.access["basic"] = {"basic", {"policy-lm"}, {}, {}};
    configuration.workspaces["bench"] = {"bench", "basic"};
    const auto digest = keyDigest(Key);
    configuration.keys[digest] = {"key-1", digest, "bench", false};
    return configuration;
}

class Bench
{
public:
    explicit Bench(std::size_t tokens)
        : m_tokens(tokens)
    {
        EntrySettings settings;
        settings.limits = FixedRateEngine::limits();
        settings.overload.inFlightBound = 100000;
        const auto before = threadIds();
        m_entry = std::make_unique<EntryService>(settings, systemNow);
        m_entry->start();
        m_entry->publishConfiguration(benchConfiguration());
        m_entryThreads = newThreads(before);
        const auto beforeSidecars = threadIds();
        for (std::size_t i = 0; i < Sidecars; ++i) {
            m_engines.push_back(std::make_unique<FixedRateEngine>(tokens));
        }
        const auto beforeServices = threadIds();
        for (std::size_t i = 0; i < Sidecars; ++i) {
            SidecarSettings sidecar;
            sidecar.node = "sidecar-" + std::to_string(i);
            sidecar.endpointUrl = m_engines[i]->url();
            sidecar.serves = "policy-lm";
            sidecar.queue.engineBound = 4096;
            sidecar.entries = {m_entry->internalAddress()};
            m_sidecars.push_back(std::make_unique<SidecarService>(sidecar, systemNow));
            m_sidecars.back()->start();
        }
        m_sidecarThreads = newThreads(beforeServices);
        m_ticker = std::thread([this] { runTicker(); });
        const auto isRoutable = [](const EndpointReport &report) { return report.inRotation; };
        for (bool ready = false; !ready; std::this_thread::sleep_for(Milliseconds(20))) {
            const auto reports = m_entry->hub().directory().reports();
            ready = reports.size() == Sidecars && std::all_of(reports.begin(), reports.end(), isRoutable);
        }
    }

    ~Bench()
    {
        m_stopping = true;
        m_ticker.join();
        for (auto &sidecar : m_sidecars) {
            sidecar->stop();
        }
        m_entry->stop();
        for (auto &engine : m_engines) {
            engine->stop();
        }
    }

    /// Sends requests through the entry at a constant rate and, if direct is set, sends one to an engine directly after each of them.
    void run(double rate, double seconds, bool direct)
    {
        ResponseTimes entryTimes;
        ResponseTimes directTimes;
        const auto entryCpu = cpuSeconds(m_entryThreads);
        const auto sidecarCpu = cpuSeconds(m_sidecarThreads);
        const auto start = Clock::now();
        const auto count = static_cast<std::uint64_t>(rate * seconds);
        for (std::uint64_t i = 0; i < count; ++i) {
            std::this_thread::sleep_until(start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(static_cast<double>(i) / rate)));
            sendTimed(m_client, completion("http://" + m_entry->address(), m_tokens, 0), entryTimes);
            if (direct) {
                sendTimed(m_client, completion(m_engines[i % Sidecars]->url(), m_tokens, i + 1), directTimes);
            }
        }
        waitForAll(entryTimes);
        waitForAll(directTimes);
        const auto wall = std::chrono::duration<double>(Clock::now() - start).count();
        print(rate, wall, entryTimes, directTimes, cpuSeconds(m_entryThreads) - entryCpu, cpuSeconds(m_sidecarThreads) - sidecarCpu);
    }

private:
    static std::set<std::string> newThreads(const std::set<std::string> &before)
    {
        std::set<std::string> added;
        for (const auto &id : threadIds()) {
            if (before.count(id) == 0) {
                added.insert(id);
            }
        }
        return added;
    }

    static void waitForAll(ResponseTimes &times)
    {
        std::unique_lock lock(times.mutex);
        times.changed.wait(lock, [&times] { return times.open == 0; });
    }

    void print(double rate, double wall, ResponseTimes &entryTimes, ResponseTimes &directTimes, double entryCpu, double sidecarCpu) const
    {
        const auto done = static_cast<double>(entryTimes.completeMs.size());
        const auto tokens = done * static_cast<double>(m_tokens);
        std::printf("%.0f requests/s offered, %zu tokens each: %zu whole, %zu failed in %.1f s\n",
                    rate,
                    m_tokens,
                    entryTimes.completeMs.size(),
                    entryTimes.failed,
                    wall);
        std::printf("  entry: %.2f CPU s = %.0f requests/s and %.0f tokens/s per core; sidecars: %.0f tokens/s per core\n",
                    entryCpu,
                    done / entryCpu,
                    tokens / entryCpu,
                    tokens / sidecarCpu);
        std::printf("  first token p50 %.2f p99 %.2f ms, whole answer p50 %.2f p99 %.2f ms\n",
                    quantile(entryTimes.firstByteMs, 0.5),
                    quantile(entryTimes.firstByteMs, 0.99),
                    quantile(entryTimes.completeMs, 0.5),
                    quantile(entryTimes.completeMs, 0.99));
        if (!directTimes.completeMs.empty()) {
            std::printf("  direct: first token p50 %.2f p99 %.2f ms, whole answer p50 %.2f p99 %.2f ms\n",
                        quantile(directTimes.firstByteMs, 0.5),
                        quantile(directTimes.firstByteMs, 0.99),
                        quantile(directTimes.completeMs, 0.5),
                        quantile(directTimes.completeMs, 0.99));
            std::printf("  added: first token p50 %.2f p99 %.2f ms, whole answer p50 %.2f p99 %.2f ms\n",
                        quantile(entryTimes.firstByteMs, 0.5) - quantile(directTimes.firstByteMs, 0.5),
                        quantile(entryTimes.firstByteMs, 0.99) - quantile(directTimes.firstByteMs, 0.99),
                        quantile(entryTimes.completeMs, 0.5) - quantile(directTimes.completeMs, 0.5),
                        quantile(entryTimes.completeMs, 0.99) - quantile(directTimes.completeMs, 0.99));
        }
        std::fflush(stdout);
    }

    void runTicker()
    {
        auto next = Clock::now();
        for (int slice = 0; !m_stopping; slice = (slice + 1) % SlicesPerToken) {
            next += Milliseconds(1);
            std::this_thread::sleep_until(next);
            for (auto &engine : m_engines) {
                engine->tick(slice);
            }
        }
    }

    std::size_t m_tokens;
    std::unique_ptr<EntryService> m_entry;
    std::vector<std::unique_ptr<FixedRateEngine>> m_engines;
    std::vector<std::unique_ptr<SidecarService>> m_sidecars;
    std::set<std::string> m_entryThreads;
    std::set<std::string> m_sidecarThreads;
    std::atomic<bool> m_stopping{false};
    std::thread m_ticker;
    HttpClient m_client;
};

}

int main(int argc, char **argv)
{
    const double rate = argc > 1 ? std::atof(argv[1]) : 82;
    const double seconds = argc > 2 ? std::atof(argv[2]) : 10;
    const auto tokens = static_cast<std::size_t>(argc > 3 ? std::atoi(argv[3]) : 256);
    prepareProcess();
    log4cplus::Logger::getRoot().setLogLevel(log4cplus::OFF_LOG_LEVEL);
    Bench bench(tokens);
    // Warm-up: the first requests open the pooled connections.
    bench.run(rate, 1, true);
    bench.run(rate, seconds, rate <= 100);
    return 0;
}
