#pragma once

#include "base/eventloop.h"
#include "http/serverexchange.h"
#include "log/eventlog.h"
#include "metadata/feedupdate.h"
#include "metadata/prefixfeed.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// Serves the feeds of this process to other processes, so that a fleet opens a few watches on the store instead of one for
/// each process: the store counts each open watch. A follower holds one connection per feed and receives one line of JSON
/// whenever the feed has advanced. A process that follows a peer itself refuses followers.
class FeedHub
{
public:
    FeedHub(EventLoop loop, EventLog &log);

    /// Adds a feed that may be followed. The feed must outlive the hub, and its hooks must call recordSnapshot(),
    /// recordChange() and publishUpdates().
    void add(const std::string &prefix, PrefixFeed &feed);

    /// Discards the recorded changes and disconnects all followers, because changes may have been missed before the new
    /// listing.
    void recordSnapshot(const std::string &prefix);
    void recordChange(const std::string &prefix, const MetadataItem &item);
    /// Sends an update to each follower. Called when the feed has advanced or has lost the store.
    void publishUpdates(const std::string &prefix);

    /// Answers the request of a follower: 404 for an unknown prefix, 503 if this process cannot serve, 410 if the requested
    /// revision is older than the recorded changes, otherwise a stream of updates.
    void serve(const std::shared_ptr<ServerExchange> &exchange);

    std::size_t followerCount() const;

    static constexpr const char *Path = "/feed";
    static constexpr const char *PrefixField = "Feed-Prefix";
    static constexpr const char *AfterField = "Feed-After";
    static constexpr const char *NodeField = "Feed-Node";

    /// Minimum number of followers and recent requesters. With fewer, a hub costs the store more calls than it saves,
    /// because it watches in shorter spans.
    static constexpr std::size_t MinFollowers = 4;
    /// Number of changes recorded for followers that reconnect.
    static constexpr std::size_t MaxRecentChanges = 2000;
    /// Larger values are omitted from updates; followers read them from the store, which has more bandwidth.
    static constexpr std::size_t MaxValueBytes = 4096;

private:
    struct Follower {
        std::shared_ptr<ServerExchange> exchange;
        std::string node;
        Timestamp requestedAt;
        /// Newest revision whose changes have been sent.
        std::uint64_t sentRevision = 0;
    };

    struct RecentChange {
        MetadataItem item;
        /// The value exceeds MaxValueBytes and is neither recorded nor sent.
        bool isValueOmitted = false;
    };

    struct Feed {
        PrefixFeed *source = nullptr;
        /// recentChanges holds all changes after this revision.
        std::uint64_t historyStart = 0;
        std::deque<RecentChange> recentChanges;
        std::vector<Follower> followers;
        /// Nodes that have recently asked to follow or have disconnected, with the time of the newest request or of the
        /// disconnection.
        std::map<std::string, Timestamp> recentRequesters;
    };

    bool canServe(Feed &feed, const std::string &node);
    void send(const Feed &feed, Follower &follower) const;
    void removeClosedFollowers(Feed &feed);

    EventLoop m_loop;
    EventLog &m_log;
    std::map<std::string, Feed> m_feeds;
};

}
