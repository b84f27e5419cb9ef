#include "gateway/grantclient.h"

#include "scheduling/grantserver.h"

namespace Basilbend
{

GrantClient::GrantClient(LeaderClient &leader, EventLoop loop, EventLog &log)
    : m_leader(leader)
    , m_loop(std::move(loop))
    , m_log(log)
{
}

void GrantClient::ask(const std::vector<const EndpointRecord *> &endpoints, AnnouncedLimits &known, Callback callback)
{
    const auto now = m_loop.now();
    GrantRequest request;
    for (const auto *endpoint : endpoints) {
        if (const auto limit = known.limitOf(*endpoint)) {
            request.candidates.push_back({{endpoint->id, endpoint->startedAtMs}, limit->requestsPerSecond, now - limit->namedAt});
        }
    }
    send(request, [&known, now, callback = std::move(callback)](std::optional<GrantReply> reply) {
        for (const auto &id : reply ? reply->unlimited : std::vector<std::string>()) {
            known.end(id, now);
        }
        callback(std::move(reply));
    });
}

void GrantClient::reportUnnamed(const EndpointStart &endpoint, Timestamp sentAt)
{
    send({{}, {{endpoint, 0, m_loop.now() - sentAt}}}, [](const std::optional<GrantReply> &) {});
}

void GrantClient::send(const GrantRequest &request, Callback callback)
{
    const RequestMessage message{"POST", GrantServer::Path, {{"Content-Type", "application/json"}}, encodeGrantRequest(request)};
    m_leader.sendAfterLookUp(message, ResponseTimeout, [this, callback = std::move(callback)](const std::optional<LeaderResponse> &response) {
        callback(response ? decode(*response) : std::nullopt);
    });
}

std::optional<GrantReply> GrantClient::decode(const LeaderResponse &response) const
{
    auto reply = decodeGrantReply(response.body);
    if (!reply) {
        m_log.warning("grant_unreadable", {{"leader", response.address}, {"reason", reply.error().message}});
        return std::nullopt;
    }
    return std::move(reply.value());
}

}
