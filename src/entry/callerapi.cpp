#include "entry/callerapi.h"

#include "entry/callersink.h"
#include "net/attemptline.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace Basilbend
{

namespace Internal
{

constexpr std::string_view RoutesPrefix = "/routes/";
/// Prompt bytes that decide where cached prefixes are looked for.
constexpr std::size_t PrefixBytes = 256;
/// Tokens that a request is charged for before its length is known.
constexpr std::uint64_t ExpectedTokens = 256;

std::string headerOr(const HttpHeaders &headers, const std::string &name, const std::string &fallback)
{
    const auto it = headers.find(name);
    return it == headers.end() ? fallback : it->second;
}

/// Only these headers of a caller travel on; all others, the key among them, stay here.
HttpHeaders headersForService(const HttpHeaders &headers)
{
    HttpHeaders forwarded;
    for (const auto *name : {"content-type", "accept", "accept-language", "if-none-match", "if-match", "range"}) {
        if (const auto it = headers.find(name); it != headers.end()) {
            forwarded.insert(*it);
        }
    }
    return forwarded;
}

std::string targetOf(const HttpRequest &request, std::size_t pathStart)
{
    auto target = request.path.substr(pathStart);
    if (target.empty()) {
        target = "/";
    }
    return request.rawQuery.empty() ? target : target + "?" + request.rawQuery;
}

}

CallerApi::CallerApi(EntryHub &hub, const Blackboard &blackboard, SpanWriter &spans, std::uint64_t seed)
    : m_hub(hub)
    , m_blackboard(blackboard)
    , m_spans(spans)
    , m_random(seed)
    , m_overload(hub.settings().overload)
{
}

void CallerApi::setAdmission(AdmissionHooks hooks)
{
    m_admission = std::move(hooks);
}

void CallerApi::setShare(const std::string &workspace, double share)
{
    const std::lock_guard lock(m_mutex);
    m_overload.setShare(workspace, share);
}

bool CallerApi::handle(HttpRequest &request, std::unique_ptr<HttpResponder> &responder)
{
    const bool isChat = request.path == "/v1/chat/completions";
    const bool isModels = request.path == "/v1/models";
    if (isChat || isModels || request.path == "/v1/completions") {
        const auto *method = isModels ? "GET" : "POST";
        if (request.method != method) {
            const Error error{ResultCode::MethodNotAllowed, request.path + " takes " + method};
            responder->respond({httpStatus(error.code), errorBody(error), "application/json", {{"Allow", method}}});
        } else if (isModels) {
            listModels(request, *responder);
        } else {
            complete(request, std::move(responder), isChat);
        }
        return true;
    }
    if (request.path.compare(0, Internal::RoutesPrefix.size(), Internal::RoutesPrefix) == 0) {
        callRoute(std::move(request), std::move(responder));
        return true;
    }
    return false;
}

CallerApi::Admitted CallerApi::begin(const HttpRequest &request)
{
    Admitted admitted;
    admitted.start = m_hub.now();
    const std::lock_guard lock(m_mutex);
    admitted.parent = TraceContext::fromHeader(Internal::headerOr(request.headers, "traceparent", {}), m_random);
    admitted.span = admitted.parent.child(m_random);
    admitted.requestId = "req-" + TraceContext::root(m_random).traceId;
    return admitted;
}

void CallerApi::complete(const HttpRequest &request, std::unique_ptr<HttpResponder> responder, bool isChat)
{
    const std::string name = isChat ? "chat" : "completion";
    auto admitted = begin(request);
    const auto configuration = m_blackboard.configuration();
    const auto caller = CallerCheck(*configuration, m_blackboard.configurationFresh).authenticate(request.headers);
    if (!caller) {
        refuse(*responder, admitted, caller.error(), name);
        return;
    }
    admitted.caller = caller.value();
    const auto asked = CompletionRequest::fromBody(request.body, isChat, m_hub.settings().defaultMaxTokens);
    if (!asked) {
        refuse(*responder, admitted, asked.error(), name);
        return;
    }
    auto run = completionRun(*configuration, asked.value(), admitted);
    const auto admission = run ? admit(admitted, run.value()) : Result<void>(run.error());
    if (!admission) {
        refuse(*responder, admitted, admission.error(), name);
        return;
    }
    const auto &wanted = asked.value();
    CompletionAnswer answer(admitted.requestId, admitted.caller.workspace, wanted.model, isChat, admitted.start.milliseconds() / 1000);
    auto sink = std::make_unique<CompletionSink>(
        std::move(responder), std::move(answer), wanted.stream, wanted.includeUsage, m_blackboard.leaving, endCallback(admitted, name));
    m_hub.runForCaller(std::move(run.value()), std::move(sink));
}

Result<RunRequest> CallerApi::completionRun(const Configuration &configuration, const CompletionRequest &asked, Admitted &admitted) const
{
    BOOST_OUTCOME_TRY(minimumVersion, CallerCheck(configuration, true).allowPolicy(admitted.caller, asked.model));
    admitted.expectedTokens = std::min(asked.maxTokens, Internal::ExpectedTokens);
    RunRequest run;
    run.requestId = admitted.requestId;
    run.workspace = admitted.caller.workspace;
    run.keyDigest = admitted.caller.keyDigest;
    run.requestClass = asked.requestClass;
    run.deadline = admitted.start + std::min(asked.deadline.value_or(m_hub.settings().defaultDeadline), m_hub.settings().longestDeadline);
    run.expectedTokens = admitted.expectedTokens;
    run.minimumVersion = std::max(minimumVersion, asked.minimumVersion);
    run.prefixHash = XXH3_64bits(asked.prompt.data(), std::min(asked.prompt.size(), Internal::PrefixBytes));
    run.traceparent = admitted.span.toHeader();
    run.revision = configuration.revision;
    run.engine = {asked.model, asked.prompt, asked.maxTokens, asked.parameters, {}};
    return run;
}

void CallerApi::listModels(const HttpRequest &request, HttpResponder &responder)
{
    const auto admitted = begin(request);
    const auto configuration = m_blackboard.configuration();
    const CallerCheck check(*configuration, m_blackboard.configurationFresh);
    const auto caller = check.authenticate(request.headers);
    if (!caller) {
        refuse(responder, admitted, caller.error(), "models");
        return;
    }
    auto data = nlohmann::json::array();
    for (const auto &policy : m_hub.directory().policies()) {
        if (check.allowPolicy(caller.value(), policy)) {
            data.push_back({{"id", policy}, {"object", "model"}, {"created", 0}, {"owned_by", "basilbend"}});
        }
    }
    const nlohmann::json body{{"object", "list"}, {"data", std::move(data)}};
    responder.respond({200, body.dump(), "application/json", {{"X-Request-Id", admitted.requestId}}});
    writeSpan(admitted, "models", ResultCode::Ok);
}

void CallerApi::callRoute(HttpRequest request, std::unique_ptr<HttpResponder> responder)
{
    auto admitted = begin(request);
    const auto configuration = m_blackboard.configuration();
    auto run = routeRun(request, *configuration, admitted);
    const auto admission = run ? admit(admitted, run.value()) : Result<void>(run.error());
    if (!admission) {
        refuse(*responder, admitted, admission.error(), "route");
        return;
    }
    auto sink = std::make_unique<ServiceSink>(
        std::move(responder), admitted.requestId, admitted.caller.workspace, m_blackboard.leaving, endCallback(admitted, "route"));
    m_hub.runForCaller(std::move(run.value()), std::move(sink));
}

Result<RunRequest> CallerApi::routeRun(HttpRequest &request, const Configuration &configuration, Admitted &admitted) const
{
    const auto nameStart = Internal::RoutesPrefix.size();
    const auto nameEnd = std::min(request.path.find('/', nameStart), request.path.size());
    const auto name = request.path.substr(nameStart, nameEnd - nameStart);
    const CallerCheck check(configuration, m_blackboard.configurationFresh);
    const auto *open = check.openRoute(name);
    Route route;
    if (open != nullptr) {
        route = *open;
    } else {
        BOOST_OUTCOME_TRY(caller, check.authenticate(request.headers));
        admitted.caller = caller;
        BOOST_OUTCOME_TRY(allowed, check.allowRoute(caller, name));
        route = allowed;
    }
    // A caller's own id makes repeats of one request recognisable to the service.
    admitted.requestId = Internal::headerOr(request.headers, "x-request-id", admitted.requestId);
    RunRequest run;
    run.requestId = admitted.requestId;
    run.workspace = admitted.caller.workspace;
    run.keyDigest = admitted.caller.keyDigest;
    run.idempotent = route.repeatableMethods.count(request.method) != 0;
    run.deadline = admitted.start + m_hub.settings().defaultDeadline;
    run.traceparent = admitted.span.toHeader();
    run.revision = configuration.revision;
    run.isService = true;
    run.service = {name, request.method, Internal::targetOf(request, nameEnd), Internal::headersForService(request.headers), std::move(request.body)};
    return run;
}

Result<void> CallerApi::admit(const Admitted &admitted, const RunRequest &run)
{
    const auto &workspace = admitted.caller.workspace;
    {
        const auto wait = m_hub.directory().shortestWait(run.target());
        const std::lock_guard lock(m_mutex);
        BOOST_OUTCOME_TRYV(m_overload.admit(workspace, wait, run.deadline, admitted.start));
    }
    if (m_admission.admit && !workspace.empty()) {
        if (auto admission = m_admission.admit(workspace, admitted.expectedTokens); !admission) {
            const std::lock_guard lock(m_mutex);
            m_overload.finished(workspace);
            return admission;
        }
    }
    return boost::outcome_v2::success();
}

std::function<void(ResultCode, const RunResult *)> CallerApi::endCallback(const Admitted &admitted, const std::string &name)
{
    return [this, admitted, name](ResultCode code, const RunResult *result) {
        {
            const std::lock_guard lock(m_mutex);
            m_overload.finished(admitted.caller.workspace);
        }
        const auto tokens = result != nullptr ? result->body.tokens : 0;
        if (m_admission.settle && !admitted.caller.workspace.empty()) {
            m_admission.settle(admitted.caller.workspace, admitted.expectedTokens, tokens);
        }
        m_hub.metrics().count("basilbend_entry_tokens_total", {{"workspace", admitted.caller.workspace}}, tokens);
        writeSpan(admitted, name, code);
    };
}

void CallerApi::refuse(HttpResponder &responder, const Admitted &admitted, const Error &error, const std::string &name)
{
    HttpResponse response{httpStatus(error.code), errorBody(error), "application/json", {{"X-Request-Id", admitted.requestId}}};
    if (error.retryAfter.count() > 0) {
        response.headers.emplace_back("Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(error.retryAfter).count()));
    }
    if (m_blackboard.leaving) {
        response.headers.emplace_back("Connection", "close");
    }
    responder.respond(std::move(response));
    writeSpan(admitted, name, error.code);
}

void CallerApi::writeSpan(const Admitted &admitted, const std::string &name, ResultCode code)
{
    const auto now = m_hub.now();
    const std::string result(resultCodeName(code));
    m_hub.metrics().count("basilbend_entry_requests_total", {{"kind", name}, {"result", result}});
    m_hub.metrics().observe("basilbend_entry_request_seconds", static_cast<double>((now - admitted.start).count()) / 1000.0, {{"kind", name}});
    if (m_spans.isEnabled()) {
        m_spans.write({admitted.span.traceId,
                       admitted.span.spanId,
                       admitted.parent.spanId,
                       "entry." + name,
                       admitted.start,
                       now,
                       code != ResultCode::Ok,
                       {{"request.id", admitted.requestId}, {"workspace", admitted.caller.workspace}, {"key.id", admitted.caller.keyId}, {"result", result}}});
    }
}

}
