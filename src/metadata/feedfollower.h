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
    /// An update, and the time of this process at which the copy was proven current, which may be earlier than it really was.
    std::function<void(const FeedUpdate &, Timestamp verifiedAt)> onUpdate;
    /// The other process refuses, has ended the connection or says what can't be read.
    std::function<void()> onDisconnected;
};

/// Follows the feed of another process. See FeedHub.
class FeedFollower
{
public:
    /// Peers: the processes that may be followed, "IP:PORT"; all followers ask them in the same order, so that few are followed.
    FeedFollower(WebClient &client, EventLoop loop, EventLog &log, std::vector<std::string> peers, std::string node);

    /// Whether it is time to ask a peer.
    bool mayStart() const;

    /// Follows a prefix behind a revision.
    void start(const std::string &prefix, std::uint64_t afterRevision, FeedFollowerHooks hooks);

    /// Ends without a call of the hooks. Failed: another peer is asked next, after RetryPause. A peer that only refuses may not
    /// be ready yet and is asked once more after RefusalRetryPause.
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
