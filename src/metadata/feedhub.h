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

/// Lets other processes follow the feeds of this one, so that a fleet watches the store a few times and not once for each
/// process: the store counts each waiting watch. A follower holds one connection for each feed and gets a line whenever the
/// feed has advanced. A process that follows others itself serves nobody.
class FeedHub
{
public:
    FeedHub(EventLoop loop, EventLog &log);

    /// Adds a feed that may be followed; it must outlive the hub. Its hooks are to call the note functions below.
    void add(const std::string &prefix, PrefixFeed &feed);

    /// The feed has been listed anew, so that changes may have been missed.
    void recordSnapshot(const std::string &prefix);
    void recordChange(const std::string &prefix, const MetadataItem &item);
    /// The feed has advanced or has lost the store.
    void publishUpdates(const std::string &prefix);

    /// Answers a request of a follower; a request for something else is refused.
    void serve(const std::shared_ptr<ServerExchange> &exchange);

    std::size_t followerCount() const;

    static constexpr const char *Path = "/feed";
    static constexpr const char *PrefixField = "Feed-Prefix";
    static constexpr const char *AfterField = "Feed-After";
    static constexpr const char *NodeField = "Feed-Node";

    /// Below this number of followers a hub costs the store more calls than it saves, because it watches in shorter spans.
    static constexpr std::size_t MinFollowers = 4;
    /// Changes kept for followers that come back.
    static constexpr std::size_t MaxRecentChanges = 2000;
    /// Values above this size are left out; the store has the better link.
    static constexpr std::size_t MaxValueBytes = 4096;

private:
    struct Follower {
        std::shared_ptr<ServerExchange> exchange;
        std::string node;
        Timestamp requestedAt;
        /// Changes up to this revision have been sent.
        std::uint64_t sentRevision = 0;
    };

    struct RecentChange {
        MetadataItem item;
        /// The value is too large to be kept and sent.
        bool isValueOmitted = false;
    };

    struct Feed {
        PrefixFeed *source = nullptr;
        /// All changes after this revision are among the recent ones.
        std::uint64_t historyStart = 0;
        std::deque<RecentChange> recentChanges;
        std::vector<Follower> followers;
        /// Processes that have lately asked to follow, with the time of the newest request.
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
