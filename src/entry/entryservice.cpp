#include "entry/entryservice.h"

#include "net/attemptline.h"
#include "net/errorresponse.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

namespace Basilbend
{

using nlohmann::json;

namespace Internal
{

/// Period in which callers that left, deadlines and silent streams are found.
constexpr Milliseconds RunTick{250};
constexpr std::string_view InternalPrefix = "/internal/";

}

class EntryService::Private
{
public:
    Private(EntrySettings settings, NowFunction now, SpanWriter::LineSink spans)
        : m_settings(std::move(settings))
        , m_now(std::move(now))
        , m_incarnation(newIncarnation(m_now()))
        , m_spans("basilbend-entry", std::move(spans))
        , m_loop(m_now)
        , m_hub(m_settings, m_now, m_incarnation, m_loop)
        , m_api(m_hub, m_loop.blackboard(), m_spans, m_incarnation)
    {
        auto &self = m_loop.blackboard().self;
        self.node = m_settings.node;
        self.incarnation = m_incarnation;
        self.zone = m_settings.zone;
        self.region = m_settings.region;
        m_loop.blackboard().onConfiguration([this](const Configuration &configuration) { configurationChanged(configuration); });
    }

    ~Private()
    {
        stop();
    }

    void start()
    {
        m_internalServer = std::make_unique<HttpServer>(
            m_settings.internalAddress, m_settings.internalPort, 1, m_settings.limits, [this](HttpRequest request, std::unique_ptr<HttpResponder> responder) {
                handleInternal(std::move(request), std::move(responder));
            });
        m_loop.blackboard().self.address = m_settings.internalAddress + ":" + std::to_string(m_internalServer->port());
        m_server = std::make_unique<HttpServer>(
            m_settings.address,
            m_settings.port,
            m_settings.serverThreads,
            m_settings.limits,
            [this](HttpRequest request, std::unique_ptr<HttpResponder> responder) { handle(std::move(request), std::move(responder)); });
        m_loop.addController(Internal::RunTick, [this](Blackboard &, Timestamp now) { m_hub.tick(now); });
        m_loop.addController(Milliseconds(1000), [this](Blackboard &, Timestamp now) { m_hub.directory().tick(now); });
        for (const auto &controller : m_attachments.controllers) {
            m_loop.addController(controller.period, controller.run);
        }
        m_loop.start();
        LOG4CPLUS_INFO(m_logger, "entry " << m_settings.node << " serves callers at port " << m_server->port());
    }

    void stop()
    {
        m_loop.stop();
        if (m_server) {
            m_server->stop();
            m_internalServer->stop();
        }
        m_hub.stop();
    }

    void handle(HttpRequest request, std::unique_ptr<HttpResponder> responder)
    {
        if (m_api.handle(request, responder) || handleProbe(request, *responder)) {
            return;
        }
        const bool isInternal = request.path.compare(0, Internal::InternalPrefix.size(), Internal::InternalPrefix) == 0;
        if (isInternal || !handleAttached(request, responder)) {
            refusePath(request, *responder);
        }
    }

    void handleInternal(HttpRequest request, std::unique_ptr<HttpResponder> responder)
    {
        if (request.path == "/internal/heartbeat" && request.method == "POST") {
            takeHeartbeat(request, std::move(responder));
        } else if (!handleProbe(request, *responder) && !handleAttached(request, responder)) {
            refusePath(request, *responder);
        }
    }

    bool handleAttached(HttpRequest &request, std::unique_ptr<HttpResponder> &responder)
    {
        const auto *handler = m_attachments.routes.find(request.path);
        if (handler == nullptr) {
            return false;
        }
        // Shared, because posted tasks are copyable.
        auto call = std::make_shared<std::pair<HttpRequest, std::unique_ptr<HttpResponder>>>(std::move(request), std::move(responder));
        m_loop.post([this, handler, call] { (*handler)(m_loop.blackboard(), m_now(), std::move(call->first), std::move(call->second)); });
        return true;
    }

    bool handleProbe(const HttpRequest &request, HttpResponder &responder)
    {
        if (request.path == "/healthz") {
            responder.respond({200, "ok\n", "text/plain", {}});
        } else if (request.path == "/readyz") {
            const bool ready = !m_loop.blackboard().leaving && m_loop.blackboard().ready;
            responder.respond({ready ? 200 : 503, ready ? "ready\n" : "not ready\n", "text/plain", {}});
        } else if (request.path == "/metrics") {
            m_hub.metrics().setGauge("basilbend_entry_active_requests", static_cast<double>(m_hub.activeRuns()));
            m_hub.metrics().setGauge("basilbend_entry_configuration_revision", static_cast<double>(m_loop.blackboard().configuration()->revision));
            responder.respond({200, m_hub.metrics().toText(), "text/plain; version=0.0.4", {}});
        } else {
            return false;
        }
        return true;
    }

    static void refusePath(const HttpRequest &request, HttpResponder &responder)
    {
        const Error error{ResultCode::UnknownPath, "nothing is served at " + request.path};
        responder.respond(errorResponse(error));
    }

    void takeHeartbeat(const HttpRequest &request, std::unique_ptr<HttpResponder> responder)
    {
        auto heartbeat = json::parse(request.body, nullptr, false);
        if (!heartbeat.is_object()) {
            const Error error{ResultCode::MalformedRequest, "a heartbeat is a JSON object"};
            responder->respond(errorResponse(error));
            return;
        }
        if (heartbeat.contains("load")) {
            const auto report = endpointReportFromJson(heartbeat["load"]);
            if (!report) {
                responder->respond({httpStatus(report.error().code), errorBody(report.error()), "application/json", {}});
                return;
            }
            m_hub.directory().apply(report.value(), m_now());
        }
        if (!m_heartbeatHook) {
            responder->respond({200, "{}", "application/json", {}});
            return;
        }
        auto shared = std::shared_ptr<HttpResponder>(std::move(responder));
        m_loop.post([this, shared, heartbeat = std::move(heartbeat)] {
            auto answer = json::object();
            m_heartbeatHook(heartbeat, answer);
            shared->respond({200, answer.dump(), "application/json", {}});
        });
    }

    void configurationChanged(const Configuration &configuration)
    {
        m_hub.endWithdrawn(configuration);
        for (const auto &[name, workspace] : configuration.workspaces) {
            const auto plan = configuration.plans.find(workspace.plan);
            if (plan != configuration.plans.end()) {
                m_api.setShare(name, plan->second.share);
            }
        }
        LOG4CPLUS_INFO(m_logger, m_settings.node << ": configuration revision " << configuration.revision << " in force");
    }

    EntrySettings m_settings;
    NowFunction m_now;
    std::uint64_t m_incarnation;
    SpanWriter m_spans;
    Attachments m_attachments;
    std::function<void(const json &, json &)> m_heartbeatHook;
    log4cplus::Logger m_logger = log4cplus::Logger::getInstance("entry");
    ControlLoop m_loop;
    EntryHub m_hub;
    CallerApi m_api;
    std::unique_ptr<HttpServer> m_internalServer;
    std::unique_ptr<HttpServer> m_server;
};

EntryService::EntryService(EntrySettings settings, NowFunction now, SpanWriter::LineSink spans)
    : m_d(std::make_unique<Private>(std::move(settings), std::move(now), std::move(spans)))
{
}

EntryService::~EntryService() = default;

Attachments &EntryService::attachments()
{
    return m_d->m_attachments;
}

void EntryService::setAdmission(AdmissionHooks hooks)
{
    m_d->m_api.setAdmission(std::move(hooks));
}

void EntryService::setHeartbeatHook(std::function<void(const json &, json &)> hook)
{
    m_d->m_heartbeatHook = std::move(hook);
}

ControlLoop &EntryService::control()
{
    return m_d->m_loop;
}

EntryHub &EntryService::hub()
{
    return m_d->m_hub;
}

void EntryService::start()
{
    m_d->start();
}

std::uint16_t EntryService::port() const
{
    return m_d->m_server->port();
}

std::uint16_t EntryService::internalPort() const
{
    return m_d->m_internalServer->port();
}

std::string EntryService::address() const
{
    return m_d->m_settings.address + ":" + std::to_string(port());
}

std::string EntryService::internalAddress() const
{
    return m_d->m_settings.internalAddress + ":" + std::to_string(internalPort());
}

void EntryService::publishConfiguration(Configuration configuration)
{
    m_d->m_loop.postAndWait([this, &configuration] { m_d->m_loop.blackboard().publishConfiguration(std::move(configuration)); });
}

void EntryService::beginLeaving()
{
    m_d->m_loop.blackboard().leaving = true;
    LOG4CPLUS_INFO(m_d->m_logger, "entry " << m_d->m_settings.node << " is leaving");
}

void EntryService::stopAccepting()
{
    m_d->m_server->stopAccepting();
}

bool EntryService::isDrained() const
{
    return m_d->m_hub.activeRuns() == 0;
}

void EntryService::stop()
{
    m_d->stop();
}

}
