#pragma once

#include "batches/batchrecords.h"
#include "gateway/gatewaycontext.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Basilbend
{

/// Reads results of batches from the leading scheduler. See ResultServer.
class LeaderResultReader
{
public:
    /// Receives nullopt if the leader is unknown, does not respond or can't confirm that it still leads; the caller then reads from the
    /// metadata store.
    using Callback = std::function<void(std::optional<BatchRecords::ResultChunk>)>;

    explicit LeaderResultReader(GatewayContext &context);

    /// Reads the results of the batch from the position on. The leader may wait up to the given time for a result at the position.
    /// The callback may be called before read() returns.
    void read(const std::string &batch, std::size_t position, Milliseconds wait, Callback callback);

    /// Time beyond the wait after which a leader that has not responded is dropped and the read continues at the store.
    static constexpr Milliseconds ResponseMargin{300};

private:
    std::optional<BatchRecords::ResultChunk> decode(const LeaderResponse &response) const;

    GatewayContext &m_context;
};

}
