#pragma once

#include "base/random.h"
#include "control/blackboard.h"
#include "entry/callercheck.h"
#include "entry/completionrequest.h"
#include "entry/entryhub.h"
#include "limits/overloadguard.h"
#include "net/spanwriter.h"
#include "net/tracecontext.h"

#include <memory>
#include <mutex>

namespace Basilbend
{

/// Limits that a subsystem attaches to the callers' API. Called on traffic threads.
struct AdmissionHooks {
    /// Admits a request that is expected to generate this many tokens, or refuses it.
    std::function<Result<void>(const std::string &workspace, std::uint64_t expectedTokens)> admit;

    /// Called once per admitted request, with the tokens that it generated.
    std::function<void(const std::string &workspace, std::uint64_t expectedTokens, std::uint64_t generatedTokens)> settle;
};

/// The callers' API: completions, chats, models and routes to plain services. Any thread.
class CallerApi
{
public:
    CallerApi(EntryHub &hub, const Blackboard &blackboard, SpanWriter &spans, std::uint64_t seed);

    /// Before the first request only.
    void setAdmission(AdmissionHooks hooks);

    /// Returns false, and leaves the arguments alone, when the path is not of this API.
    bool handle(HttpRequest &request, std::unique_ptr<HttpResponder> &responder);

    void setShare(const std::string &workspace, double share);

private:
    /// What one request needs until its end.
    struct Admitted {
        Caller caller;
        std::string requestId;
        TraceContext parent;
        TraceContext span;
        Timestamp start;
        std::uint64_t expectedTokens = 0;
    };

    void complete(const HttpRequest &request, std::unique_ptr<HttpResponder> responder, bool isChat);
    Result<RunRequest> completionRun(const Configuration &configuration, const CompletionRequest &asked, Admitted &admitted) const;
    void listModels(const HttpRequest &request, HttpResponder &responder);
    void callRoute(HttpRequest request, std::unique_ptr<HttpResponder> responder);
    Result<RunRequest> routeRun(HttpRequest &request, const Configuration &configuration, Admitted &admitted) const;
    Admitted begin(const HttpRequest &request);
    Result<void> admit(const Admitted &admitted, const RunRequest &run);
    std::function<void(ResultCode, const RunResult *)> endCallback(const Admitted &admitted, const std::string &name);
    void refuse(HttpResponder &responder, const Admitted &admitted, const Error &error, const std::string &name);
    void writeSpan(const Admitted &admitted, const std::string &name, ResultCode code);

    EntryHub &m_hub;
    const Blackboard &m_blackboard;
    SpanWriter &m_spans;
    AdmissionHooks m_admission;
    std::mutex m_mutex;
    Random m_random;
    OverloadGuard m_overload;
};

}
