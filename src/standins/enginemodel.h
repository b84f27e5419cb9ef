#pragma once

#include "base/result.h"
#include "standins/completiontext.h"
#include "standins/prefixcache.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

/// The speed and the bounds of a stand-in engine.
struct EngineSettings {
    std::string policy = "policy-lm";
    std::uint64_t version = 1;

    /// Streams that generate at once; the rest wait in the engine's own queue, first come first served.
    std::size_t slots = 8;
    std::size_t queueLimit = 64;

    /// Tokens per second of a stream that runs alone; each further stream adds batchSlowdown to the divisor.
    double tokensPerSecond = 200;
    double batchSlowdown = 0.08;
    double prefillTokensPerSecond = 4000;

    std::size_t cacheBlocks = 512;
    Milliseconds loadTime{200};
    Milliseconds restartTime{1000};
    Milliseconds loadReportLag{500};
};

/// A completion as an engine is asked for it.
struct EngineRequest {
    std::string id;

    /// Whose tokens these are, for the counts.
    std::string label;
    std::string prompt;
    std::uint64_t seed = 0;
    std::uint64_t maxTokens = 0;

    /// What an earlier run has produced; generation goes on behind it.
    std::string resumeText;
};

/// A part of a completion. Tokens counts this part only; the last part has a finish reason. A cut part means that the
/// engine died.
struct EngineChunk {
    std::string text;
    std::uint64_t tokens = 0;
    std::uint64_t version = 0;
    std::string finishReason;

    /// In the last part only.
    std::uint64_t promptTokens = 0;
    bool cut = false;
};

/// Continuous batching without sockets and clock. The token rate falls with the batch size; there are no priorities.
class EngineModel
{
public:
    using Sink = std::function<void(const EngineChunk &)>;

    struct Load {
        Timestamp at;
        std::size_t running = 0;
        std::size_t waiting = 0;
        std::size_t kvUsed = 0;
    };

    /// Counts of everything that was produced, never reset.
    struct Totals {
        std::map<std::string, std::uint64_t> tokensByRequest;
        std::map<std::string, std::uint64_t> tokensByLabel;
        std::map<std::string, std::uint64_t> runsByRequest;
        std::uint64_t tokens = 0;
        std::uint64_t prefillTokens = 0;
        std::uint64_t cachedTokens = 0;
        std::uint64_t refused = 0;
        std::uint64_t cancelled = 0;
        std::uint64_t crashes = 0;
        std::uint64_t swaps = 0;
    };

    explicit EngineModel(EngineSettings settings);

    /// Fails with Overloaded when the queue is full, EndpointFailed while the engine restarts, and MalformedRequest when
    /// the id is running already or the resume text is not a beginning of the completion.
    Result<void> submit(EngineRequest request, Sink sink, Timestamp now);

    /// Drops a request without a further chunk. Returns its tokens so far, or nothing when it is not there.
    std::optional<std::uint64_t> cancel(const std::string &id);

    /// Generates up to the given time. Rate is a factor on the token rate.
    void advance(Timestamp now, double rate);

    /// Ends all streams and forgets the cache; the engine restarts with the version of its settings.
    void crash(Timestamp now);
    bool isDown(Timestamp now) const;

    /// Generation pauses while paused.
    void setPaused(bool paused);
    void setWeights(const std::string &policy, std::uint64_t version);

    const std::string &policy() const;
    std::uint64_t version() const;
    const EngineSettings &settings() const;
    const Totals &totals() const;
    PrefixCache &cache();

    /// The load as it was before the lag of the settings.
    Load laggingLoad(Timestamp now) const;

    /// The text behind which a request stands or stood, prompt included, for KV export.
    std::optional<std::string> context(const std::string &id) const;

private:
    struct Stream {
        EngineRequest request;
        Sink sink;
        std::uint64_t next = 0;
        std::uint64_t end = 0;
        std::uint64_t produced = 0;
        double prefillLeft = 0;
        double progress = 0;
        std::string text;
    };

    void admit(Timestamp now);
    void generate(double seconds, double rate, Timestamp now);
    void produce(Stream &stream, std::uint64_t tokens);
    void finish(Stream &stream, Timestamp now);
    void recordLoad(Timestamp now);
    std::size_t kvUsed() const;
    const Stream *find(const std::string &id) const;

    EngineSettings m_settings;
    std::string m_policy;
    std::uint64_t m_version;
    bool m_paused = false;
    std::optional<Timestamp> m_downUntil;
    std::optional<Timestamp> m_last;
    std::vector<Stream> m_running;
    std::deque<Stream> m_waiting;
    PrefixCache m_cache;
    Totals m_totals;
    std::deque<Load> m_loads;
    std::map<std::string, std::string> m_contexts;
};

}
