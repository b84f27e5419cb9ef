#include "gateway/leaderresultreader.h"

#include "scheduling/resultserver.h"

namespace Basilbend
{

LeaderResultReader::LeaderResultReader(GatewayContext &context)
    : m_context(context)
{
}

void LeaderResultReader::read(const std::string &batch, std::size_t position, Milliseconds wait, Callback callback)
{
    const RequestMessage request{
        "GET",
        ResultServer::Path,
        {{ResultServer::BatchField, batch}, {ResultServer::AfterField, std::to_string(position)}, {ResultServer::WaitField, std::to_string(wait.count())}},
        {}};
    m_context.leader.send(request, wait + ResponseMargin, [this, callback = std::move(callback)](const std::optional<LeaderResponse> &response) {
        callback(response ? decode(*response) : std::nullopt);
    });
}

std::optional<BatchRecords::ResultChunk> LeaderResultReader::decode(const LeaderResponse &response) const
{
    auto chunk = BatchRecords::decodeChunk(response.body);
    if (!chunk) {
        m_context.log.warning("leader_results_unreadable", {{"leader", response.address}, {"reason", chunk.error().message}});
        return std::nullopt;
    }
    return std::move(chunk.value());
}

}
