#pragma once

#include "base/eventloop.h"
#include "http/webclient.h"
#include "log/eventlog.h"
#include "metadata/feedupdate.h"

#include <functional>
#include <string>
#include <vector>

namespace Basilbend
{

struct FeedFollowerHooks {
    /// Receives an update and the time, on this process's clock, at which the copy was verified against the store. The
    /// reported time is never later than the actual verification.
    std::function<void(const FeedUpdate &, Timestamp verifiedAt)> onUpdate;
    /// Called when the peer refuses the request, closes the connection or sends an update that cannot be decoded.
    std::function<void()> onDisconnected;
};

/// Receives the feed of another process over HTTP. See FeedHub.
class FeedFollower
{
public:
    /// peers lists the processes that may be followed as "IP:PORT". All followers try them in the same order, so that few
    /// processes are followed.
    FeedFollower(WebClient &client, EventLoop loop, EventLog &log, std::vector<std::string> peers, std::string node);

    /// Returns true when there is a peer to ask and the pause after the last failure is over.
    bool canStart() const;

    /// Requests the changes of a prefix after a revision and all later ones.
    void start(const std::string &prefix, std::uint64_t afterRevision, FeedFollowerHooks hooks);

    /// Stops following without calling the hooks. If failed is set, the next start() asks the next peer, no earlier than
    /// after RetryPause. A peer that answered 503 may not be ready yet and is asked once more after RefusalRetryPause.
    void stop(bool failed);

    static constexpr Milliseconds RetryPause{4000};
    static constexpr Milliseconds RefusalRetryPause{1000};

private:
    void processBytes(std::string_view data);
    void processLine(std::string_view line);

    WebClient &m_client;
    EventLoop m_loop;
    EventLog &m_log;
    std::vector<std::string> m_peers;
    std::string m_node;
    std::size_t m_peerIndex = 0;
    Timestamp m_nextStart;
    Timestamp m_requestSentAt;
    FeedFollowerHooks m_hooks;
    std::string m_partialLine;
    int m_responseStatus = 0;
    bool m_wasRefused = false;
    ClientCall m_call;
};

}
