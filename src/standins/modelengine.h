#pragma once

#include "standins/enginemodel.h"
#include "standins/standin.h"

#include <functional>
#include <future>
#include <map>
#include <optional>
#include <set>

namespace Basilbend
{

/// Stand-in for a model engine: the protocol around an EngineModel. Label of a request: the part of the prompt in front of
/// the first '|', so that callers name whose tokens they are whatever the service says; or else the field "workspace".
///
/// Fault switches: crash_after_tokens (all streams are cut after that many further tokens, the engine restarts with its
/// first version), crash_now, silent_streams (the next n streams stay open but say nothing after their first chunk),
/// slow_percent (token rate), swap_fails (the next n), swap_hangs, wrong_version_tag (added to each tag),
/// late_version_report_ms, no_tag, cache_event_lag_ms, cache_event_gap (each nth event is lost).
class ModelEngine : public StandIn
{
public:
    /// Loads the weights that a URL names; yields whether they came. Destroying the future must not wait.
    using FetchFunction = std::function<std::future<bool>(const std::string &url)>;

    /// An engine that checks fencing tokens refuses an old one with status 409; the other kind ignores them. Without a
    /// fetch function, weights arrive at once.
    ModelEngine(EngineSettings settings, bool checksFencing, FetchFunction fetch);
    ~ModelEngine() override;

    nlohmann::json stats() const override;

protected:
    void serve(HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now) override;
    void advance(Timestamp now) override;

private:
    struct OpenStream {
        std::unique_ptr<HttpResponder> responder;
        bool streamed = true;
        bool silent = false;
        bool started = false;
        std::string text;
        std::uint64_t tokens = 0;
    };
    struct Swap {
        std::string kind;
        std::string policy;
        std::uint64_t version = 0;
        std::future<bool> fetch;
        std::optional<Timestamp> pausedSince;
    };
    struct Transfer {
        Timestamp due;
        std::unique_ptr<HttpResponder> responder;
        std::uint64_t version = 0;
    };

    void complete(const HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now);
    HttpResponse order(const HttpRequest &request, Timestamp now);
    HttpResponse startSwap(const nlohmann::json &body, Timestamp now);
    HttpResponse load(Timestamp now) const;
    HttpResponse versionReport(Timestamp now) const;
    HttpResponse cacheEvents(const HttpRequest &request, Timestamp now);
    HttpResponse kv(const HttpRequest &request, Timestamp now);
    void serveWeights(const HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now);
    void forward(const std::string &id, const EngineChunk &chunk);
    void forwardWhole(OpenStream &stream, const nlohmann::json &body, const EngineChunk &chunk);
    void advanceSwap(Timestamp now);
    void endSwap(bool loaded, Timestamp now);
    void crashWhenDue(Timestamp now);
    void dropClosedStreams();
    void sendTransfers(Timestamp now);

    EngineModel m_model;
    bool m_checksFencing;
    FetchFunction m_fetch;
    std::map<std::string, OpenStream> m_streams;
    std::optional<Swap> m_swap;
    std::deque<Transfer> m_transfers;
    std::string m_role = "both";
    std::set<std::string> m_adapters;
    std::uint64_t m_highestToken = 0;
    std::uint64_t m_refusedOrders = 0;
    std::uint64_t m_failedSwaps = 0;
    std::string m_lastFailure;
    std::uint64_t m_previousVersion = 0;
    std::optional<Timestamp> m_swappedAt;
    std::optional<std::uint64_t> m_crashBase;
    nlohmann::json m_orders = nlohmann::json::array();
};

}
