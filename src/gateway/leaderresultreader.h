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
    /// Nothing: the leader is not known, does not answer or is not certain; the store has to be read.
    using Callback = std::function<void(std::optional<BatchRecords::ResultChunk>)>;

    explicit LeaderResultReader(GatewayContext &context);

    /// Wait: how long the reader lets the leader wait for a result at the position. The callback may be called at once.
    void read(const std::string &batch, std::size_t position, Milliseconds wait, Callback callback);

    /// The store is asked for the leader at most once in this time.
    static constexpr Milliseconds LookUpInterval{1000};
    /// A leader that is silent for this long beyond the wait is given up; the read goes to the store.
    static constexpr Milliseconds ResponseMargin{300};

    /// A leader that did not answer is left alone for this long, although the store still names it: about the time in which a
    /// lease ends.
    static constexpr Milliseconds SuspectCooldown{2000};

private:
    struct Call;

    void lookUpLeader();
    void complete(const std::shared_ptr<Call> &call, std::optional<BatchRecords::ResultChunk> chunk);
    void handleEnd(const std::shared_ptr<Call> &call, CallEnd how);
    /// The leader must be looked up again. Why: for the log.
    void dropLeader(const std::string &address, const char *why);

    GatewayContext &m_context;
    std::string m_leaderAddress;
    bool m_isLookingUp = false;
    std::optional<Timestamp> m_lastLookUpAt;
    /// The address that was forgotten last.
    std::string m_suspectAddress;
    Timestamp m_suspectedAt;
};

}
