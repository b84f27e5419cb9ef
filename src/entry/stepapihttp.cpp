// The part of StepApi that speaks HTTP with callers, sidecars and other entries.
#include "entry/entryhub.h"
#include "entry/stepapi.h"
#include "net/attemptline.h"
#include "steps/stepcodec.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace Basilbend
{

using nlohmann::json;

namespace Internal
{

constexpr std::string_view StepsPath = "/v1/steps";
constexpr std::string_view InternalStepsPath = "/internal/steps/";
constexpr int HttpOk = 200;
constexpr int HttpCreated = 201;
constexpr Milliseconds SidecarTimeout{2000};

void respondError(HttpResponder &responder, const Error &error)
{
    HttpResponse response{httpStatus(error.code), errorBody(error), "application/json", {}};
    if (error.retryAfter.count() > 0) {
        response.headers.emplace_back("Retry-After", std::to_string((error.retryAfter.count() + 999) / 1000));
    }
    responder.respond(std::move(response));
}

/// A whole number in the query, or the fallback when the parameter is absent.
Result<std::uint64_t> queryNumber(const HttpRequest &request, const char *name, std::uint64_t fallback, std::uint64_t most)
{
    const auto it = request.query.find(name);
    if (it == request.query.end()) {
        return fallback;
    }
    std::uint64_t n = 0;
    const auto *end = it->second.data() + it->second.size();
    const auto [at, ec] = std::from_chars(it->second.data(), end, n);
    if (ec != std::errc{} || at != end || it->second.empty() || n > most) {
        return Error{ResultCode::ValueOutOfRange, std::string("the parameter ") + name + " must be a number of at most " + std::to_string(most)};
    }
    return n;
}

/// Reads the request for an open step; the path is behind "/v1/steps/".
Result<StepCall> readStepCall(const HttpRequest &request, std::string_view path)
{
    StepCall call;
    const auto slash = path.find('/');
    call.step = std::string(path.substr(0, slash));
    const auto rest = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
    const auto is = [&request, rest](const char *method, std::string_view wanted) { return request.method == method && rest == wanted; };
    if (is("GET", "")) {
        call.kind = StepCall::Kind::Progress;
    } else if (is("DELETE", "")) {
        call.kind = StepCall::Kind::Cancel;
    } else if (is("POST", "ack")) {
        call.kind = StepCall::Kind::Acknowledge;
        const auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.contains("cursor") || !body["cursor"].is_string()) {
            return Error{ResultCode::MalformedRequest, "the body must be an object with the text cursor"};
        }
        call.cursor = body["cursor"].get<std::string>();
        if (call.cursor.empty()) {
            return Error{ResultCode::CursorInvalid, "the cursor is empty"};
        }
    } else if (is("GET", "samples")) {
        call.kind = StepCall::Kind::Fetch;
        const auto it = request.query.find("cursor");
        call.cursor = it == request.query.end() ? std::string() : it->second;
        BOOST_OUTCOME_TRY(max, queryNumber(request, "max", call.max, 1024));
        BOOST_OUTCOME_TRY(wait, queryNumber(request, "wait_ms", 0, 30000));
        BOOST_OUTCOME_TRY(version, queryNumber(request, "trainer_version", 0, UINT64_MAX));
        call.max = max;
        call.wait = Milliseconds(wait);
        call.trainerVersion = version;
    } else if (rest.empty() || rest == "ack" || rest == "samples") {
        return Error{ResultCode::MethodNotAllowed, "the path does not take " + request.method};
    } else {
        return Error{ResultCode::UnknownPath, "nothing is served at " + request.path};
    }
    return call;
}

Result<std::vector<AttachedSample>> readAttached(const std::string &body, const std::vector<AttemptRef> &refs)
{
    std::vector<AttachedSample> samples;
    try {
        const auto parsed = json::parse(body);
        for (const auto &item : parsed.at("samples")) {
            const auto id = AttemptId::fromString(item.at("attempt").get<std::string>());
            const auto ref = std::find_if(refs.begin(), refs.end(), [&id](const AttemptRef &r) { return id && r.attempt == *id; });
            if (ref == refs.end()) {
                continue;
            }
            AttachedSample sample{ref->index, ref->attempt, AttachedSample::State::Gone, {}};
            if (item.at("state") != "gone") {
                BOOST_OUTCOME_TRY(output, bodyFromJson(item.at("body")));
                sample.body = std::move(output);
                sample.state = item.at("state") == "finished" ? AttachedSample::State::Finished : AttachedSample::State::Running;
            }
            samples.push_back(std::move(sample));
        }
    } catch (const json::exception &) {
        return Error{ResultCode::MalformedRequest, "the sidecar's answer is malformed"};
    }
    return samples;
}

HttpClientRequest sidecarRequest(const EndpointReport &report, const char *path, const std::string &step, const std::vector<AttemptRef> &refs)
{
    auto attempts = json::array();
    for (const auto &ref : refs) {
        attempts.push_back(ref.attempt.toString());
    }
    HttpClientRequest request;
    request.method = "POST";
    request.url = "http://" + report.address + path;
    request.body = json{{"step", step}, {"attempts", std::move(attempts)}}.dump();
    request.timeout = SidecarTimeout;
    return request;
}

}

void StepApi::release(const std::string &step, const std::string &node, const std::vector<AttemptRef> &refs)
{
    if (const auto report = endpoint(node)) {
        m_entry.hub().client().send(Internal::sidecarRequest(*report, "/internal/samples/release", step, refs), nullptr);
    }
}

void StepApi::attach(const std::string &step, const std::string &node, const std::vector<AttemptRef> &refs)
{
    const auto answer = [this, step, node, refs](const HttpClientResponse &response) {
        std::optional<std::vector<AttachedSample>> samples;
        if (response.failure == TransportFailure::None && response.status == Internal::HttpOk) {
            auto read = Internal::readAttached(response.body, refs);
            samples = read ? std::optional(std::move(read.value())) : std::nullopt;
        }
        m_entry.control().post([this, step, node, samples = std::move(samples)] { m_steps.attachAnswered(step, node, samples, m_now()); });
    };
    const auto report = endpoint(node);
    if (report) {
        m_entry.hub().client().send(Internal::sidecarRequest(*report, "/internal/samples/attach", step, refs), answer);
        return;
    }
    HttpClientResponse unknown;
    unknown.failure = TransportFailure::ConnectFailed;
    answer(unknown);
}

void StepApi::sendToPeer(const std::string &node, HttpClientRequest request, const StepAnswer &answer)
{
    std::string address;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = std::find_if(m_peers.begin(), m_peers.end(), [&node](const StepPeer &peer) { return peer.node == node; });
        address = it == m_peers.end() ? std::string() : it->address;
    }
    const auto reply = [this, answer, node](const HttpClientResponse &response) {
        Result<json> result = Error{ResultCode::DeadlineExceeded, "the entry " + node + " did not answer", Execution::Unknown};
        if (response.failure == TransportFailure::ConnectionRefused) {
            result = Error{ResultCode::NoEndpoint, "the entry " + node + " can't be reached"};
        } else if (response.failure == TransportFailure::None && response.status == Internal::HttpOk) {
            auto body = json::parse(response.body, nullptr, false);
            result =
                body.is_object() ? Result<json>(std::move(body)) : Result<json>(Error{ResultCode::AnswerIncomplete, "the answer of " + node + " is malformed"});
        } else if (response.failure == TransportFailure::None) {
            result = errorFromBody(response.body);
        }
        m_entry.control().post([answer, result = std::move(result)] { answer(result); });
    };
    if (address.empty()) {
        HttpClientResponse unknown;
        unknown.failure = TransportFailure::ConnectionRefused;
        reply(unknown);
        return;
    }
    request.url = "http://" + address + request.url;
    m_entry.hub().client().send(std::move(request), reply);
}

StepAnswer StepApi::answerTo(const Responder &responder, std::string keyDigest, int status) const
{
    return [this, responder, keyDigest = std::move(keyDigest), status](const Result<json> &reply) {
        const auto configuration = m_entry.control().blackboard().configuration();
        // The key may have been withdrawn while the call waited.
        if (!keyDigest.empty() && !CallerCheck(*configuration, true).isKeyValid(keyDigest)) {
            Internal::respondError(*responder, Error{ResultCode::KeyWithdrawn, "the key was withdrawn"});
        } else if (reply) {
            responder->respond({status, reply.value().dump(-1, ' ', false, json::error_handler_t::replace), "application/json", {}});
        } else {
            Internal::respondError(*responder, reply.error());
        }
    };
}

void StepApi::handleCaller(const HttpRequest &request, std::unique_ptr<HttpResponder> unique)
{
    const Responder responder = std::move(unique);
    const auto &blackboard = m_entry.control().blackboard();
    const auto configuration = blackboard.configuration();
    const auto caller = CallerCheck(*configuration, blackboard.configurationFresh).authenticate(request.headers);
    if (!caller) {
        Internal::respondError(*responder, caller.error());
    } else if (request.path == Internal::StepsPath) {
        openStep(request, caller.value(), responder);
    } else {
        callStep(request, caller.value(), responder);
    }
}

void StepApi::openStep(const HttpRequest &request, const Caller &caller, const Responder &responder)
{
    if (request.method != "POST") {
        Internal::respondError(*responder, Error{ResultCode::MethodNotAllowed, "steps are opened with POST"});
        return;
    }
    const auto configuration = m_entry.control().blackboard().configuration();
    const auto mayUse = [&configuration, &caller](const Step &step) -> Result<void> {
        BOOST_OUTCOME_TRYV(CallerCheck(*configuration, true).allowPolicy(caller, step.model));
        return boost::outcome_v2::success();
    };
    m_steps.open(caller.workspace, request.body, mayUse, m_now(), answerTo(responder, caller.keyDigest, Internal::HttpCreated));
    m_idle = m_steps.stepCount() == 0;
}

void StepApi::callStep(const HttpRequest &request, const Caller &caller, const Responder &responder)
{
    const auto path = std::string_view(request.path).substr(Internal::StepsPath.size());
    auto call = path.front() == '/' ? Internal::readStepCall(request, path.substr(1))
                                    : Result<StepCall>(Error{ResultCode::UnknownPath, "nothing is served at " + request.path});
    if (!call) {
        Internal::respondError(*responder, call.error());
        return;
    }
    call.value().workspace = caller.workspace;
    m_steps.serve(call.value(), m_now(), answerTo(responder, caller.keyDigest, Internal::HttpOk));
}

void StepApi::handleInternal(const HttpRequest &request, std::unique_ptr<HttpResponder> unique)
{
    const Responder responder = std::move(unique);
    const auto id = request.path.substr(Internal::InternalStepsPath.size());
    const auto answer = answerTo(responder, {}, Internal::HttpOk);
    if (request.method == "PUT") {
        answer(m_steps.receiveCopy(id, request.body, m_now()));
    } else if (request.method == "POST") {
        const auto call = stepCallFromJson(request.body);
        if (!call || call.value().step != id) {
            answer(call ? Error{ResultCode::MalformedRequest, "the call is for another step"} : call.error());
            return;
        }
        m_steps.serve(call.value(), m_now(), answer);
    } else {
        answer(Error{ResultCode::MethodNotAllowed, "the path takes PUT and POST"});
    }
}

}
