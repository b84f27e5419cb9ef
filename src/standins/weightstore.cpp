#include "standins/weightstore.h"

#include <charconv>
#include <utility>

namespace Basilbend
{

WeightStore::WeightStore(std::size_t loadsPerSecond)
    : StandIn({{"fail_loads", 0}})
    , m_loadsPerSecond(loadsPerSecond)
{
}

nlohmann::json WeightStore::stats() const
{
    return {{"latest", m_latest}, {"loaded", m_loaded}, {"limited", m_limited}};
}

void WeightStore::serve(HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now)
{
    const std::string base = "/weights/";
    const auto slash = request.path.rfind('/');
    if (request.path.rfind(base, 0) != 0 || slash < base.size()) {
        responder->respond(errorResponse({ResultCode::UnknownPath, request.path}));
        return;
    }
    const auto policy = request.path.substr(base.size(), slash - base.size());
    const auto version = request.path.substr(slash + 1);
    if (version == "latest") {
        const auto it = m_latest.find(policy);
        responder->respond(it == m_latest.end() ? errorResponse({ResultCode::UnknownPath, "no policy " + policy})
                                                : jsonResponse(200, {{"version", it->second}}));
        return;
    }
    std::uint64_t number = 0;
    if (std::from_chars(version.data(), version.data() + version.size(), number).ec != std::errc()) {
        responder->respond(errorResponse({ResultCode::MalformedRequest, "not a version: " + version}));
    } else if (request.method == "PUT") {
        responder->respond(publish(policy, number));
    } else {
        responder->respond(load(policy, version, now));
    }
}

HttpResponse WeightStore::publish(const std::string &policy, std::uint64_t version)
{
    auto &latest = m_latest[policy];
    if (version <= latest) {
        return errorResponse({ResultCode::RevisionConflict, "version " + std::to_string(latest) + " is published already"});
    }
    latest = version;
    return jsonResponse(200, {{"version", version}});
}

HttpResponse WeightStore::load(const std::string &policy, const std::string &version, Timestamp now)
{
    const auto it = m_latest.find(policy);
    if (it == m_latest.end() || std::stoull(version) > it->second) {
        return errorResponse({ResultCode::UnknownPath, "version " + version + " of " + policy + " is not published"});
    }
    while (!m_loads.empty() && m_loads.front() + Milliseconds(1000) <= now) {
        m_loads.pop_front();
    }
    if (m_loads.size() >= m_loadsPerSecond) {
        ++m_limited;
        auto limited = errorResponse({ResultCode::RateLimited, "the weight store is at its rate limit"});
        limited.headers.emplace_back("Retry-After", "1");
        return limited;
    }
    m_loads.push_back(now);
    if (faults().take("fail_loads")) {
        return errorResponse({ResultCode::InternalError, "the load failed"});
    }
    ++m_loaded;
    return jsonResponse(200, {{"policy", policy}, {"version", std::stoull(version)}});
}

}
