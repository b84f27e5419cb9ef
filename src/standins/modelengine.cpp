#include "standins/modelengine.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace Basilbend
{

namespace Internal
{

// An engine lends its weights to two neighbours at a time, so that its own streams keep most of the network.
constexpr std::size_t MaxTransfers = 2;
constexpr Milliseconds TransferTime{50};

std::string labelOf(const nlohmann::json &body, const std::string &prompt)
{
    const auto end = prompt.find('|');
    return end == std::string::npos ? body.value("workspace", std::string()) : prompt.substr(0, end);
}

std::string lastSegment(const std::string &path)
{
    return path.substr(path.rfind('/') + 1);
}

}

ModelEngine::ModelEngine(EngineSettings settings, bool checksFencing, FetchFunction fetch)
    : StandIn({{"crash_after_tokens", 0},
               {"crash_now", false},
               {"silent_streams", 0},
               {"slow_percent", 100},
               {"swap_fails", 0},
               {"swap_hangs", false},
               {"wrong_version_tag", 0},
               {"late_version_report_ms", 0},
               {"no_tag", false},
               {"cache_event_lag_ms", 200},
               {"cache_event_gap", 0}})
    , m_model(std::move(settings))
    , m_checksFencing(checksFencing)
    , m_fetch(std::move(fetch))
{
}

ModelEngine::~ModelEngine() = default;

nlohmann::json ModelEngine::stats() const
{
    const auto &totals = m_model.totals();
    return {{"policy", m_model.policy()},
            {"version", m_model.version()},
            {"role", m_role},
            {"adapters", m_adapters},
            {"tokens", totals.tokens},
            {"tokens_by_request", totals.tokensByRequest},
            {"tokens_by_label", totals.tokensByLabel},
            {"runs_by_request", totals.runsByRequest},
            {"prefill_tokens", totals.prefillTokens},
            {"cached_tokens", totals.cachedTokens},
            {"refused", totals.refused},
            {"cancelled", totals.cancelled},
            {"crashes", totals.crashes},
            {"swaps", totals.swaps},
            {"failed_swaps", m_failedSwaps},
            {"refused_orders", m_refusedOrders},
            {"orders", m_orders}};
}

void ModelEngine::serve(HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now)
{
    if (m_model.isDown(now)) {
        responder->abort();
        return;
    }
    const auto is = [&request](const char *method, const char *path) { return request.method == method && request.path == path; };
    if (is("POST", "/v1/completions")) {
        complete(request, responder, now);
    } else if (is("POST", "/cancel")) {
        const auto id = parseBody(request).at("request_id").get<std::string>();
        const bool cancelled = m_model.cancel(id).has_value();
        m_streams.erase(id);
        // Also for a request that ended before, since its caller may not have received the last tokens.
        const auto &byRequest = m_model.totals().tokensByRequest;
        const auto tokens = byRequest.find(id);
        responder->respond(jsonResponse(200, {{"cancelled", cancelled}, {"tokens", tokens == byRequest.end() ? 0 : tokens->second}}));
    } else if (is("GET", "/load")) {
        responder->respond(load(now));
    } else if (is("GET", "/version")) {
        responder->respond(versionReport(now));
    } else if (is("POST", "/orders")) {
        responder->respond(order(request, now));
    } else if (is("GET", "/cache/events")) {
        responder->respond(cacheEvents(request, now));
    } else if (request.path.rfind("/kv/", 0) == 0) {
        responder->respond(kv(request, now));
    } else if (request.method == "GET" && request.path.rfind("/weights/", 0) == 0) {
        serveWeights(request, responder, now);
    } else {
        responder->respond(errorResponse({ResultCode::UnknownPath, request.method + " " + request.path}));
    }
}

void ModelEngine::advance(Timestamp now)
{
    crashWhenDue(now);
    dropClosedStreams();
    advanceSwap(now);
    m_model.advance(now, static_cast<double>(faults().number("slow_percent")) / 100.0);
    sendTransfers(now);
}

void ModelEngine::complete(const HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now)
{
    const auto body = parseBody(request);
    EngineRequest asked;
    asked.id = body.at("request_id").get<std::string>();
    asked.prompt = body.at("prompt").get<std::string>();
    asked.label = Internal::labelOf(body, asked.prompt);
    asked.seed = body.value("seed", std::uint64_t{0});
    asked.maxTokens = m_role == "prefill" ? 1 : body.value("max_tokens", std::numeric_limits<std::uint64_t>::max());
    asked.resumeText = body.value("resume_text", std::string());
    const auto model = body.value("model", m_model.policy());
    if (model != m_model.policy() && m_adapters.count(model) == 0) {
        responder->respond(errorResponse({ResultCode::ValueOutOfRange, "model " + model + " is not loaded"}));
        return;
    }
    const auto id = asked.id;
    const auto result = m_model.submit(
        std::move(asked), [this, id](const EngineChunk &chunk) { forward(id, chunk); }, now);
    if (!result) {
        responder->respond(errorResponse(result.error()));
        return;
    }
    auto &stream = m_streams[id];
    stream.streamed = body.value("stream", false);
    stream.silent = stream.streamed && faults().take("silent_streams");
    stream.responder = std::move(responder);
    if (stream.streamed) {
        stream.responder->begin(200, "text/event-stream", {});
    }
}

HttpResponse ModelEngine::order(const HttpRequest &request, Timestamp now)
{
    const auto body = parseBody(request);
    const auto token = body.value("fencing_token", std::uint64_t{0});
    const bool old = token < m_highestToken;
    const bool refused = old && m_checksFencing;
    m_orders.push_back({{"order", body}, {"old_token", old}, {"refused", refused}});
    if (refused) {
        ++m_refusedOrders;
        return jsonResponse(409, {{"error", {{"name", "old_fencing_token"}, {"highest", m_highestToken}}}});
    }
    m_highestToken = std::max(m_highestToken, token);
    if (body.at("kind") == "set_role") {
        m_role = body.at("role").get<std::string>();
        return jsonResponse(200, {{"accepted", true}});
    }
    return startSwap(body, now);
}

HttpResponse ModelEngine::startSwap(const nlohmann::json &body, Timestamp now)
{
    if (m_swap) {
        return jsonResponse(503, {{"error", {{"name", "loading"}}}});
    }
    Swap swap;
    swap.kind = body.at("kind").get<std::string>();
    swap.policy = body.at("policy").get<std::string>();
    swap.version = body.value("version", std::uint64_t{0});
    if (swap.kind != "load_version" && swap.kind != "load_model" && swap.kind != "load_adapter") {
        return errorResponse({ResultCode::ValueOutOfRange, "unknown kind of order: " + swap.kind});
    }
    const auto source = body.value("source", std::string());
    if (m_fetch && !source.empty()) {
        swap.fetch = m_fetch(source + "/weights/" + swap.policy + "/" + std::to_string(swap.version));
    }
    m_lastFailure.clear();
    m_swap = std::move(swap);
    advanceSwap(now);
    return jsonResponse(202, {{"accepted", true}});
}

HttpResponse ModelEngine::load(Timestamp now) const
{
    const auto load = m_model.laggingLoad(now);
    return jsonResponse(200, {{"running", load.running}, {"waiting", load.waiting}, {"capacity", m_model.settings().slots}, {"kv_used", load.kvUsed}});
}

HttpResponse ModelEngine::versionReport(Timestamp now) const
{
    const bool late = m_swappedAt && now < *m_swappedAt + Milliseconds(faults().number("late_version_report_ms"));
    return jsonResponse(
        200,
        {{"policy", m_model.policy()}, {"version", late ? m_previousVersion : m_model.version()}, {"loading", m_swap.has_value()}, {"failure", m_lastFailure}});
}

HttpResponse ModelEngine::cacheEvents(const HttpRequest &request, Timestamp now)
{
    const auto gap = static_cast<std::uint64_t>(faults().number("cache_event_gap"));
    auto events = nlohmann::json::array();
    for (const auto &event : m_model.cache().events(queryNumber(request, "after", 0), Milliseconds(faults().number("cache_event_lag_ms")), now)) {
        if (gap == 0 || event.sequence % gap != 0) {
            events.push_back({{"sequence", event.sequence}, {"kind", event.stored ? "stored" : "evicted"}, {"block", event.block}});
        }
    }
    return jsonResponse(200, {{"events", std::move(events)}});
}

HttpResponse ModelEngine::kv(const HttpRequest &request, Timestamp now)
{
    const auto id = Internal::lastSegment(request.path);
    if (request.method == "PUT") {
        m_model.cache().insert(PrefixCache::blocksOf(parseBody(request).at("context").get<std::string>()), now);
        return jsonResponse(200, {{"id", id}});
    }
    const auto context = m_model.context(id);
    return context ? jsonResponse(200, {{"id", id}, {"context", *context}}) : errorResponse({ResultCode::UnknownPath, "no cache entry for " + id});
}

void ModelEngine::serveWeights(const HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now)
{
    if (request.path != "/weights/" + m_model.policy() + "/" + std::to_string(m_model.version())) {
        responder->respond(errorResponse({ResultCode::UnknownPath, "this engine does not hold " + request.path}));
    } else if (m_transfers.size() >= Internal::MaxTransfers) {
        auto busy = jsonResponse(429, {{"error", {{"name", "busy"}}}});
        busy.headers.emplace_back("Retry-After", "1");
        responder->respond(std::move(busy));
    } else {
        m_transfers.push_back({now + Internal::TransferTime, std::move(responder), m_model.version()});
    }
}

void ModelEngine::forward(const std::string &id, const EngineChunk &chunk)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end()) {
        return;
    }
    auto &stream = it->second;
    if (chunk.cut) {
        stream.responder->abort();
        m_streams.erase(it);
        return;
    }
    nlohmann::json body{{"request_id", id}, {"text", chunk.text}, {"tokens", chunk.tokens}, {"finish_reason", nullptr}};
    if (!chunk.finishReason.empty()) {
        body["finish_reason"] = chunk.finishReason;
        body["prompt_tokens"] = chunk.promptTokens;
    }
    if (!faults().isOn("no_tag")) {
        body["weight_version"] = static_cast<std::int64_t>(chunk.version) + faults().number("wrong_version_tag");
    }
    if (!stream.streamed) {
        forwardWhole(stream, body, chunk);
    } else if (!stream.silent || !stream.started) {
        stream.started = true;
        stream.responder->write("data: " + body.dump() + "\n\n");
        if (!chunk.finishReason.empty()) {
            stream.responder->write("data: [DONE]\n\n");
            stream.responder->end();
        }
    }
    if (!chunk.finishReason.empty() && !stream.silent) {
        m_streams.erase(it);
    }
}

void ModelEngine::forwardWhole(OpenStream &stream, const nlohmann::json &body, const EngineChunk &chunk)
{
    stream.text += chunk.text;
    stream.tokens += chunk.tokens;
    if (!chunk.finishReason.empty()) {
        auto whole = body;
        whole["text"] = stream.text;
        whole["tokens"] = stream.tokens;
        stream.responder->respond(jsonResponse(200, whole));
    }
}

void ModelEngine::advanceSwap(Timestamp now)
{
    if (!m_swap) {
        return;
    }
    if (!m_swap->pausedSince) {
        if (m_swap->fetch.valid()) {
            if (m_swap->fetch.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
                return;
            }
            if (!m_swap->fetch.get()) {
                endSwap(false, now);
                return;
            }
        }
        m_swap->pausedSince = now;
        m_model.setPaused(true);
    }
    if (now >= *m_swap->pausedSince + m_model.settings().loadTime && !faults().isOn("swap_hangs")) {
        endSwap(!faults().take("swap_fails"), now);
    }
}

void ModelEngine::endSwap(bool loaded, Timestamp now)
{
    if (!loaded) {
        ++m_failedSwaps;
        m_lastFailure = "swap failed";
    } else if (m_swap->kind == "load_adapter") {
        m_adapters.insert(m_swap->policy);
    } else {
        m_previousVersion = m_model.version();
        m_swappedAt = now;
        m_model.setWeights(m_swap->policy, m_swap->version);
    }
    m_swap.reset();
    m_model.setPaused(false);
}

void ModelEngine::crashWhenDue(Timestamp now)
{
    const auto limit = static_cast<std::uint64_t>(faults().number("crash_after_tokens"));
    if (limit == 0) {
        m_crashBase.reset();
    } else if (!m_crashBase) {
        m_crashBase = m_model.totals().tokens;
    }
    const bool due = m_crashBase && m_model.totals().tokens - *m_crashBase >= limit;
    if (due || faults().isOn("crash_now")) {
        // The switches are known and of the right type, so that setting them back can't fail.
        (void)faults().set({{"crash_after_tokens", 0}, {"crash_now", false}});
        m_swap.reset();
        m_model.setPaused(false);
        m_transfers.clear();
        m_model.crash(now);
        m_streams.clear();
    }
}

void ModelEngine::dropClosedStreams()
{
    for (auto it = m_streams.begin(); it != m_streams.end();) {
        if (!it->second.responder->isOpen()) {
            m_model.cancel(it->first);
            it = m_streams.erase(it);
        } else {
            ++it;
        }
    }
}

void ModelEngine::sendTransfers(Timestamp now)
{
    while (!m_transfers.empty() && m_transfers.front().due <= now) {
        m_transfers.front().responder->respond(jsonResponse(200, {{"policy", m_model.policy()}, {"version", m_transfers.front().version}}));
        m_transfers.pop_front();
    }
}

}
