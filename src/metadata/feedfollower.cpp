#include "metadata/feedfollower.h"

#include "http/socketoptions.h"
#include "metadata/feedhub.h"

namespace Basilbend
{

namespace
{

constexpr Milliseconds ConnectTimeout{300};
constexpr int RefusedStatus = 503;
/// Limit for one update. An update has at most FeedHub::MaxRecentChanges changes with values of at most
/// FeedHub::MaxValueBytes, which is about 8 MB without keys and escaping.
constexpr std::size_t MaxLineBytes = 16 * 1024 * 1024;

}

FeedFollower::FeedFollower(WebClient &client, EventLoop loop, EventLog &log, std::vector<std::string> peers, std::string node)
    : m_client(client)
    , m_loop(std::move(loop))
    , m_log(log)
    , m_peers(std::move(peers))
    , m_node(std::move(node))
{
}

bool FeedFollower::canStart() const
{
    return !m_peers.empty() && m_loop.now() >= m_nextStart;
}

void FeedFollower::start(const std::string &prefix, std::uint64_t afterRevision, FeedFollowerHooks hooks)
{
    m_hooks = std::move(hooks);
    m_partialLine.clear();
    m_responseStatus = 0;
    m_requestSentAt = m_loop.now();
    const auto &peer = m_peers[m_peerIndex];
    RequestMessage request{"GET",
                           FeedHub::Path,
                           {{"Host", peer}, {FeedHub::PrefixField, prefix}, {FeedHub::AfterField, std::to_string(afterRevision)}, {FeedHub::NodeField, m_node}},
                           {}};
    CallHooks callHooks;
    callHooks.onHead = [this](const ResponseHead &head) { m_responseStatus = head.status; };
    callHooks.onBody = [this](std::string_view data) { processBytes(data); };
    callHooks.onEnd = [this, peer, prefix](CallOutcome outcome) {
        m_log.info("feed_not_followed", {{"peer", peer}, {"prefix", prefix}, {"status", m_responseStatus}, {"end", callOutcomeName(outcome)}});
        // The hook may restart or stop this follower.
        const auto onDisconnected = m_hooks.onDisconnected;
        onDisconnected();
    };
    m_call = m_client.send(parseSocketEndpoint(peer), request, std::move(callHooks), ConnectTimeout);
}

void FeedFollower::processBytes(std::string_view data)
{
    if (m_responseStatus != 200) {
        return;
    }
    while (!data.empty()) {
        const auto end = data.find('\n');
        m_partialLine.append(data.substr(0, end));
        if (end == std::string_view::npos) {
            break;
        }
        data.remove_prefix(end + 1);
        const auto line = std::move(m_partialLine);
        m_partialLine.clear();
        processLine(line);
    }
    if (m_partialLine.size() > MaxLineBytes) {
        m_log.warning("feed_unreadable", {{"reason", "line exceeds 16 MiB"}, {"bytes", m_partialLine.size()}});
        m_partialLine.clear();
        m_loop.runAfter(Milliseconds(0), m_hooks.onDisconnected);
    }
}

void FeedFollower::processLine(std::string_view line)
{
    const auto update = decodeFeedUpdate(line);
    if (!update) {
        m_log.warning("feed_unreadable", {{"reason", update.error().message}});
        m_loop.runAfter(Milliseconds(0), m_hooks.onDisconnected);
        return;
    }
    // The peer measures the offset from the arrival of the request, which is later than its sending, so the sum is never too
    // late.
    m_hooks.onUpdate(update.value(), m_requestSentAt + update.value().verifiedOffset);
}

void FeedFollower::stop(bool failed)
{
    m_call.cancel();
    if (!failed) {
        return;
    }
    m_wasRefused = m_responseStatus == RefusedStatus && !m_wasRefused;
    if (m_wasRefused) {
        m_nextStart = m_loop.now() + RefusalRetryPause;
    } else {
        m_peerIndex = (m_peerIndex + 1) % m_peers.size();
        m_nextStart = m_loop.now() + RetryPause;
    }
}

}
