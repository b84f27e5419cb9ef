#include "gateway/gatewayservice.h"

#include "gateway/rejection.h"
#include "platform/clienttext.h"

#include <algorithm>
#include <utility>

namespace Basilbend
{

namespace
{

constexpr Milliseconds NotConfiguredRetryAfter{500};
/// How long the submission of a batch waits for a stale configuration to be refreshed. The client submits again after about one
/// second without a response.
constexpr Milliseconds MaxSubmissionWait{900};
constexpr Milliseconds SubmissionRecheckInterval{40};

int httpStatusOf(ResultCode code)
{
    switch (code) {
    case ResultCode::UnknownPath:
        return 404;
    case ResultCode::KeyMissing:
    case ResultCode::KeyUnknown:
        return 401;
    default:
        return 503;
    }
}

}

GatewayService::GatewayService(GatewayContext &context, FreshnessRule freshness)
    : m_context(context)
    , m_freshness(freshness)
    , m_batchApi(context)
{
}

bool GatewayService::isFresh() const
{
    return m_freshness.isFresh(m_context.view.configurationVerifiedAt(), m_context.loop.now());
}

ConfigurationTrust GatewayService::configurationTrust() const
{
    return m_freshness.trustIn(m_context.view.configurationVerifiedAt(), m_context.loop.now());
}

void GatewayService::setFreshness(FreshnessRule freshness)
{
    m_freshness = freshness;
}

bool GatewayService::isReady() const
{
    return !m_draining && m_context.view.routes() != nullptr && isFresh();
}

ResponseMessage GatewayService::readiness() const
{
    return {isReady() ? 200 : 503, {}, {}};
}

void GatewayService::beginDrain(Timestamp lateAfter, Timestamp end)
{
    m_draining = true;
    m_lateAfter = lateAfter;
    m_drainEnd = end;
}

void GatewayService::endOpenCalls()
{
    for (const auto &weak : std::exchange(m_calls, {})) {
        if (const auto call = weak.lock()) {
            call->endForShutdown();
        }
    }
}

ServerLimits GatewayService::limits() const
{
    const auto *routes = m_context.view.routes();
    if (routes == nullptr) {
        return {};
    }
    const auto &limits = routes->configuration().limits;
    return {limits.maxHeadBytes, limits.maxBodyBytes, limits.headTimeout, limits.idleTimeout};
}

void GatewayService::handle(const std::shared_ptr<ServerExchange> &exchange)
{
    const auto request = decodeClientRequest(exchange->request());
    if (const auto reason = invalidTextOf(exchange->request(), request)) {
        rejectMalformed(*exchange, *reason);
        return;
    }
    if (m_context.view.routes() == nullptr) {
        reject(*exchange, request, Error{ResultCode::ConfigurationNotFresh, "no configuration yet", Execution::NotRun, NotConfiguredRetryAfter});
        return;
    }
    if (request.action == ClientAction::Submit) {
        submit(exchange, request, m_context.loop.now() + MaxSubmissionWait);
    } else {
        handleBatchCall(exchange, request);
    }
}

void GatewayService::submit(const std::shared_ptr<ServerExchange> &exchange, const ClientRequest &request, Timestamp waitDeadline)
{
    const auto &routes = *m_context.view.routes();
    const auto *route = routes.find(request.host, request.path);
    const bool mustWait = route != nullptr && route->kind == RouteKind::Batch && !isFresh() && m_context.loop.now() < waitDeadline;
    if (mustWait && exchange->isOpen()) {
        m_context.loop.runAfter(SubmissionRecheckInterval, [this, exchange, request, waitDeadline] { submit(exchange, request, waitDeadline); });
        return;
    }
    if (route == nullptr) {
        // A stale configuration may lack a new route.
        reject(*exchange,
               request,
               configurationTrust() == ConfigurationTrust::Current ? Error{ResultCode::UnknownPath, "no route for this host and path"}
                                                                   : configurationNotFresh());
        return;
    }
    std::string workspace;
    if (!route->isPublic) {
        auto keyWorkspace = authenticateRequest(routes, request.apiKey, configurationTrust());
        if (!keyWorkspace) {
            reject(*exchange, request, keyWorkspace.error());
            return;
        }
        workspace = std::move(keyWorkspace.value());
    }
    if (route->kind == RouteKind::Batch) {
        m_batchApi.submit(exchange, request, *route, workspace);
    } else {
        startLiveCall(exchange, request, *route, workspace);
    }
}

void GatewayService::startLiveCall(const std::shared_ptr<ServerExchange> &exchange,
                                   const ClientRequest &request,
                                   const RouteRule &route,
                                   const std::string &workspace)
{
    const auto now = m_context.loop.now();
    if (m_draining && now >= m_lateAfter && now + LiveCall::timeLimit(route, request) > m_drainEnd) {
        reject(*exchange, request, Error{ResultCode::Draining, "the gateway stops before the time limit of the request", Execution::NotRun});
        return;
    }
    if (m_calls.size() >= m_callsBeforeCleanUp) {
        m_calls.erase(std::remove_if(m_calls.begin(), m_calls.end(), [](const std::weak_ptr<LiveCall> &call) { return call.expired(); }), m_calls.end());
        m_callsBeforeCleanUp = std::max(MinCallsBeforeCleanUp, 2 * m_calls.size());
    }
    const auto call = std::make_shared<LiveCall>(m_context, exchange, request, route, workspace);
    m_calls.push_back(call);
    call->start();
}

void GatewayService::handleBatchCall(const std::shared_ptr<ServerExchange> &exchange, const ClientRequest &request)
{
    auto workspace = authenticateRequest(*m_context.view.routes(), request.apiKey, configurationTrust());
    if (!workspace) {
        reject(*exchange, request, workspace.error());
        return;
    }
    switch (request.action) {
    case ClientAction::ReadResults:
        m_batchApi.readResults(exchange, request, workspace.value());
        break;
    case ClientAction::ReadItem:
        m_batchApi.readItem(exchange, request, workspace.value());
        break;
    case ClientAction::EndBatch:
        m_batchApi.endBatch(exchange, request, workspace.value());
        break;
    case ClientAction::Submit:
        break;
    }
}

void GatewayService::rejectMalformed(ServerExchange &exchange, const std::string &reason)
{
    const Error error{ResultCode::MalformedRequest, reason, Execution::NotRun};
    m_context.metrics.count("basilbend_rejections_total", {{"code", std::string(resultCodeName(error.code))}});
    m_context.log.warning("request_malformed", {{"reason", reason}});
    // The id of the attempt may be the text that is invalid, so the response does not repeat it.
    exchange.respond(makeRejection(400, error, {}));
}

void GatewayService::reject(ServerExchange &exchange, const ClientRequest &request, const Error &error)
{
    const int status = httpStatusOf(error.code);
    const auto verifiedAt = m_context.view.configurationVerifiedAt();
    const auto *routes = m_context.view.routes();
    m_context.metrics.count("basilbend_rejections_total", {{"code", std::string(resultCodeName(error.code))}});
    m_context.log.warning("request_rejected",
                          {{"request", request.attemptId},
                           {"batch", request.batchId},
                           {"host", request.host},
                           {"path", request.path},
                           {"status", status},
                           {"code", static_cast<int>(error.code)},
                           {"configuration", routes == nullptr ? 0 : routes->version()},
                           {"configuration_age_ms", verifiedAt ? m_context.loop.now() - *verifiedAt : Milliseconds(-1)}});
    if (status == 503) {
        exchange.closeAfterResponse();
    }
    exchange.respond(makeRejection(status, error, request.attemptId));
}

}
