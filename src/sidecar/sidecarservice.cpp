#include "sidecar/sidecarservice.h"

#include "base/rendezvous.h"
#include "net/errorresponse.h"
#include "net/tracecontext.h"
#include "sidecar/attempthandlers.h"
#include "sidecar/attemptstreams.h"
#include "sidecar/endpointcaller.h"
#include "sidecar/samplekeeper.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

namespace Basilbend
{

using nlohmann::json;

namespace Internal
{

constexpr Milliseconds CoreTick{100};
constexpr Milliseconds HeartbeatTimeout{2000};
/// A load order that is not confirmed for this long has failed.
constexpr Milliseconds SwapTimeout{10000};

}

class SidecarService::Private
{
public:
    Private(SidecarSettings settings, NowFunction now, SpanWriter::LineSink spans)
        : m_settings(std::move(settings))
        , m_now(std::move(now))
        , m_random(newIncarnation(m_now()))
        , m_incarnation(m_random.bits())
        , m_spans("basilbend-sidecar", std::move(spans))
        , m_loop(m_now)
        , m_core(m_settings, m_incarnation, hooks())
        , m_streams(m_settings.keepAlivePeriod, m_settings.maxPendingBytes)
        , m_samples(m_settings.outboxBytes)
        , m_caller(*m_client, m_settings.endpointUrl, callbacks())
        , m_handlers(m_core, m_streams, m_mutex, m_metrics, m_now)
        , m_entries(m_settings.entries)
    {
        auto &self = m_loop.blackboard().self;
        self.node = m_settings.node;
        self.incarnation = m_incarnation;
        self.zone = m_settings.zone;
        self.region = m_settings.region;
    }

    ~Private()
    {
        stop();
        // Its last callbacks use the other members.
        m_client.reset();
    }

    void start()
    {
        m_server = std::make_unique<HttpServer>(
            m_settings.address, m_settings.port, 1, HttpLimits{}, [this](HttpRequest request, std::unique_ptr<HttpResponder> responder) {
                handle(std::move(request), std::move(responder));
            });
        m_address = m_settings.address + ":" + std::to_string(m_server->port());
        m_loop.blackboard().self.address = m_address;
        m_loop.addController(Internal::CoreTick, [this](Blackboard &, Timestamp now) { tick(now); });
        if (!m_settings.isService) {
            m_loop.addController(Milliseconds(1000), [this](Blackboard &, Timestamp) { queryVersion(); });
        }
        m_loop.addController(m_settings.reportPeriod, [this](Blackboard &, Timestamp) { report(); });
        for (const auto &controller : m_attachments.controllers) {
            m_loop.addController(controller.period, controller.run);
        }
        m_loop.start();
        LOG4CPLUS_INFO(m_logger, "sidecar " << m_settings.node << " serves " << m_settings.serves << " at " << m_address);
    }

    void stop()
    {
        m_loop.stop();
        if (m_server) {
            m_server->stop();
        }
    }

    void handle(HttpRequest request, std::unique_ptr<HttpResponder> responder)
    {
        const auto &path = request.path;
        if (m_handlers.handle(request, responder)) {
            return;
        }
        if (path == "/internal/samples/release" && request.method == "POST") {
            release(request, *responder);
        } else if (path == "/internal/samples/attach" && request.method == "POST") {
            attachSamples(request, *responder);
        } else if (path == "/internal/weights/load" && request.method == "POST") {
            loadWeights(request, *responder);
        } else if (path == "/healthz") {
            responder->respond({200, "ok\n", "text/plain", {}});
        } else if (path == "/readyz") {
            const auto report = load();
            const bool ready = report.inRotation && !report.leaving;
            responder->respond({ready ? 200 : 503, ready ? "ready\n" : "not ready\n", "text/plain", {}});
        } else if (path == "/metrics") {
            writeGauges();
            responder->respond({200, m_metrics.toText(), "text/plain; version=0.0.4", {}});
        } else if (const auto *handler = m_attachments.routes.find(path)) {
            auto shared = std::make_shared<std::pair<HttpRequest, std::unique_ptr<HttpResponder>>>(std::move(request), std::move(responder));
            m_loop.post([this, handler, shared] { (*handler)(m_loop.blackboard(), m_now(), std::move(shared->first), std::move(shared->second)); });
        } else {
            const Error error{ResultCode::UnknownPath, "nothing is served at " + path};
            responder->respond(errorResponse(error));
        }
    }

    void attachSamples(const HttpRequest &request, HttpResponder &responder)
    {
        const std::lock_guard lock(m_mutex);
        const auto reply = m_samples.attach(request.body);
        responder.respond(reply ? HttpResponse{200, reply.value().dump(-1, ' ', false, json::error_handler_t::replace), "application/json", {}}
                                : errorResponse(reply.error()));
    }

    void loadWeights(const HttpRequest &request, HttpResponder &responder)
    {
        const auto body = json::parse(request.body, nullptr, false);
        const auto isNumber = [&body](const char *field) { return body.contains(field) && body[field].is_number_unsigned(); };
        if (!body.is_object() || !isNumber("version") || !isNumber("fencing_token") || (body.contains("source") && !body["source"].is_string())) {
            responder.respond(errorResponse({ResultCode::MalformedRequest, "version, fencing_token and the text source are needed"}));
            return;
        }
        const auto begun = loadVersion(body["version"].get<std::uint64_t>(), body.value("source", std::string()), body["fencing_token"].get<std::uint64_t>());
        responder.respond(begun ? HttpResponse{202, "{}", "application/json", {}} : errorResponse(begun.error()));
    }

    void release(const HttpRequest &request, HttpResponder &responder)
    {
        const auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.contains("attempts") || !body["attempts"].is_array()) {
            responder.respond(errorResponse({ResultCode::MalformedRequest, "attempts is needed"}));
            return;
        }
        const std::lock_guard lock(m_mutex);
        if (const auto released = m_samples.release(request.body); body.contains("step") && !released) {
            responder.respond(errorResponse(released.error()));
            return;
        }
        for (const auto &item : body["attempts"]) {
            if (const auto id = item.is_string() ? AttemptId::fromString(item.get<std::string>()) : std::nullopt) {
                m_core.log().forget(*id);
            }
        }
        responder.respond({200, "{}", "application/json", {}});
    }

    SidecarCore::Hooks hooks()
    {
        SidecarCore::Hooks hooks;
        hooks.startCall = [this](const AttemptRequest &request) { startCall(request); };
        hooks.cancelCall = [this](const AttemptId &id) { m_caller.cancel(id, !m_settings.isService); };
        hooks.emit = [this](const AttemptId &id, const std::string &line, bool isLast) { m_streams.emit(id, line, isLast, m_now()); };
        hooks.observeSample = [this](const AttemptRequest &request, const AttemptLine &line) { m_samples.observe(request, line, m_now()); };
        // Posted, because the core must not be entered from a hook.
        hooks.queryVersion = [this] { m_loop.post([this] { queryVersion(); }); };
        hooks.reportUsage = [this](const AttemptUsage &usage) { attemptEnded(usage); };
        return hooks;
    }

    EndpointCaller::Callbacks callbacks()
    {
        EndpointCaller::Callbacks callbacks;
        callbacks.chunk = [this](const AttemptId &id, const EndpointChunk &chunk) {
            const std::lock_guard lock(m_mutex);
            m_core.chunk(id, chunk, m_now());
        };
        callbacks.answer = [this](const AttemptId &id, HttpClientResponse response) {
            const std::lock_guard lock(m_mutex);
            m_core.answer(id, response.status, std::move(response.headers), std::move(response.body), m_now());
        };
        callbacks.cancelled = [this](const AttemptId &id, std::optional<std::uint64_t> producedTokens) {
            const std::lock_guard lock(m_mutex);
            m_core.usageSettled(id, producedTokens);
        };
        callbacks.failed = [this](const AttemptId &id, const Error &error) {
            const std::lock_guard lock(m_mutex);
            m_core.callFailed(id, error, m_now());
        };
        callbacks.version = [this](std::uint64_t query, std::uint64_t version, bool loading) {
            const std::lock_guard lock(m_mutex);
            m_core.versionAnswered(query, version, loading, m_now());
        };
        callbacks.lost = [this] {
            const std::lock_guard lock(m_mutex);
            m_core.engineLost(m_now());
        };
        return callbacks;
    }

    void startCall(const AttemptRequest &request)
    {
        const auto parent = TraceContext::fromHeader(request.traceparent, m_random);
        const auto own = parent.child(m_random);
        m_traces[request.id] = {parent, own, m_now()};
        if (request.isService) {
            m_caller.callService(request, own.toHeader());
        } else {
            m_caller.callEngine(request, own.toHeader());
        }
    }

    void attemptEnded(const AttemptUsage &usage)
    {
        m_caller.forget(usage.attempt);
        m_metrics.count("basilbend_sidecar_attempts_total", {{"end", std::string(resultCodeName(usage.end))}});
        m_metrics.count("basilbend_sidecar_tokens_total", {{"workspace", usage.workspace}}, usage.tokens.completionTokens);
        if (const auto it = m_traces.find(usage.attempt); it != m_traces.end()) {
            const auto &trace = it->second;
            m_spans.write({trace.own.traceId,
                           trace.own.spanId,
                           trace.parent.spanId,
                           "sidecar.attempt",
                           trace.start,
                           usage.at,
                           usage.end != ResultCode::Ok,
                           {{"attempt.id", usage.attempt.toString()}, {"workspace", usage.workspace}, {"result", std::string(resultCodeName(usage.end))}}});
            m_traces.erase(it);
        }
        if (m_usageListener) {
            m_usageListener(usage);
        }
    }

    void tick(Timestamp now)
    {
        const std::lock_guard lock(m_mutex);
        m_core.tick(now);
        m_streams.tick(now);
        m_samples.expire(now);
        watchSwap(now);
        for (const auto &id : m_streams.unreadSince(now - m_settings.abandonAfter)) {
            m_core.abandon(id, now);
        }
        const bool inRotation = m_core.load().inRotation;
        if (inRotation != m_wasInRotation) {
            m_wasInRotation = inRotation;
            LOG4CPLUS_INFO(m_logger, m_settings.node << (inRotation ? ": endpoint in rotation" : ": endpoint out of rotation"));
        }
    }

    /// Asks often while weights are swapped: the gap in service is as long as this takes to notice.
    void watchSwap(Timestamp now)
    {
        if (!m_core.load().swapping) {
            m_swapSince.reset();
            return;
        }
        if (!m_swapSince) {
            m_swapSince = now;
            m_swapOverdue = false;
        }
        if (!m_swapOverdue && now - *m_swapSince >= Internal::SwapTimeout) {
            m_swapOverdue = true;
            m_core.swapFailed();
        }
        m_caller.queryVersion(m_core.beginVersionQuery());
    }

    void queryVersion()
    {
        const std::lock_guard lock(m_mutex);
        m_caller.queryVersion(m_core.beginVersionQuery());
    }

    /// On the control thread.
    void report()
    {
        std::vector<std::string> entries;
        {
            const std::lock_guard lock(m_mutex);
            entries = m_entries;
        }
        json heartbeat{
            {"node", m_settings.node}, {"incarnation", m_incarnation}, {"revision", m_loop.blackboard().configuration()->revision}, {"load", toJson(load())}};
        if (m_writeHeartbeat) {
            m_writeHeartbeat(heartbeat);
        }
        const auto body = heartbeat.dump();
        for (const auto &entry : rendezvousOrder(m_settings.node, entries, m_settings.reportTo)) {
            HttpClientRequest request;
            request.method = "POST";
            request.url = "http://" + entry + "/internal/heartbeat";
            request.body = body;
            request.timeout = Internal::HeartbeatTimeout;
            m_client->send(std::move(request), [this, entry](const HttpClientResponse &response) { heartbeatAnswered(entry, response); });
        }
    }

    void heartbeatAnswered(const std::string &entry, const HttpClientResponse &response)
    {
        auto body = json::parse(response.body, nullptr, false);
        if (m_readHeartbeat && response.failure == TransportFailure::None && body.is_object()) {
            m_loop.post([this, entry, body = std::move(body)] { m_readHeartbeat(entry, body); });
        }
    }

    EndpointReport load() const
    {
        const std::lock_guard lock(m_mutex);
        auto report = m_core.load();
        report.address = m_address;
        return report;
    }

    void writeGauges()
    {
        const auto report = load();
        m_metrics.setGauge("basilbend_sidecar_running", static_cast<double>(report.running));
        m_metrics.setGauge("basilbend_sidecar_waiting", static_cast<double>(report.waiting));
        m_metrics.setGauge("basilbend_sidecar_in_rotation", report.inRotation ? 1 : 0);
        m_metrics.setGauge("basilbend_sidecar_weight_version", static_cast<double>(report.version));
    }

    Result<void> loadVersion(std::uint64_t version, const std::string &source, std::uint64_t fencingToken)
    {
        const std::lock_guard lock(m_mutex);
        auto begun = m_core.beginSwap(version);
        if (begun) {
            m_caller.orderLoad(m_settings.serves, version, source, fencingToken, [this](bool accepted) {
                if (!accepted) {
                    const std::lock_guard callbackLock(m_mutex);
                    m_core.swapFailed();
                }
            });
        }
        return begun;
    }

    void beginLeaving()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_core.setLeaving();
        }
        m_loop.blackboard().leaving = true;
        m_loop.post([this] { report(); });
        LOG4CPLUS_INFO(m_logger, "sidecar " << m_settings.node << " is leaving");
    }

    struct Trace {
        TraceContext parent;
        TraceContext own;
        Timestamp start;
    };

    SidecarSettings m_settings;
    NowFunction m_now;
    Random m_random;
    std::uint64_t m_incarnation;
    std::string m_address;
    SpanWriter m_spans;
    Metrics m_metrics;
    Attachments m_attachments;
    std::function<void(json &)> m_writeHeartbeat;
    std::function<void(const std::string &, const json &)> m_readHeartbeat;
    std::function<void(const AttemptUsage &)> m_usageListener;
    log4cplus::Logger m_logger = log4cplus::Logger::getInstance("sidecar");
    ControlLoop m_loop;

    /// Guards all members below but the client and the server.
    mutable std::mutex m_mutex;
    SidecarCore m_core;
    AttemptStreams m_streams;
    SampleKeeper m_samples;
    std::optional<Timestamp> m_swapSince;
    bool m_swapOverdue = false;
    std::map<AttemptId, Trace> m_traces;
    bool m_wasInRotation = false;
    std::unique_ptr<HttpClient> m_client = std::make_unique<HttpClient>();
    EndpointCaller m_caller;
    AttemptHandlers m_handlers;
    std::vector<std::string> m_entries;
    std::unique_ptr<HttpServer> m_server;
};

SidecarService::SidecarService(SidecarSettings settings, NowFunction now, SpanWriter::LineSink spans)
    : m_d(std::make_unique<Private>(std::move(settings), std::move(now), std::move(spans)))
{
}

SidecarService::~SidecarService() = default;

Attachments &SidecarService::attachments()
{
    return m_d->m_attachments;
}

void SidecarService::setHeartbeatHooks(std::function<void(json &)> write, std::function<void(const std::string &, const json &)> read)
{
    m_d->m_writeHeartbeat = std::move(write);
    m_d->m_readHeartbeat = std::move(read);
}

void SidecarService::setUsageListener(std::function<void(const AttemptUsage &)> listener)
{
    m_d->m_usageListener = std::move(listener);
}

ControlLoop &SidecarService::control()
{
    return m_d->m_loop;
}

HttpClient &SidecarService::client()
{
    return *m_d->m_client;
}

Metrics &SidecarService::metrics()
{
    return m_d->m_metrics;
}

void SidecarService::start()
{
    m_d->start();
}

std::uint16_t SidecarService::port() const
{
    return m_d->m_server->port();
}

std::string SidecarService::address() const
{
    return m_d->m_address;
}

void SidecarService::setEntries(std::vector<std::string> entries)
{
    const std::lock_guard lock(m_d->m_mutex);
    m_d->m_entries = std::move(entries);
}

void SidecarService::setShare(const std::string &workspace, double share)
{
    const std::lock_guard lock(m_d->m_mutex);
    m_d->m_core.setShare(workspace, share);
}

EndpointReport SidecarService::load() const
{
    return m_d->load();
}

Result<void> SidecarService::loadVersion(std::uint64_t version, const std::string &source, std::uint64_t fencingToken)
{
    return m_d->loadVersion(version, source, fencingToken);
}

void SidecarService::beginLeaving()
{
    m_d->beginLeaving();
}

bool SidecarService::isDrained() const
{
    const std::lock_guard lock(m_d->m_mutex);
    return m_d->m_core.isIdle();
}

void SidecarService::stop()
{
    m_d->stop();
}

}
