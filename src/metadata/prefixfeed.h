#pragma once

#include "base/eventloop.h"
#include "metadata/feedfollower.h"
#include "metadata/metadatastore.h"
#include "metadata/watchposition.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Basilbend
{

/// The way by which a feed learned of changes.
enum class FeedSource {
    Listing,
    Watch,
    /// The feed of another process.
    Peer,
};

/// Returns the name of the source for logs.
const char *feedSourceName(FeedSource source);

/// How a feed learned of the changes that it reports, for logs.
struct FeedAdvance {
    FeedSource source = FeedSource::Listing;
    /// Upper limit of the time for which the oldest of these changes was in the store before it was reported: the age of the copy
    /// until then. Nothing for the first listing.
    std::optional<Milliseconds> maxDelay;
};

struct PrefixFeedHooks {
    /// Receives all items below the prefix, after start() and whenever the history was lost.
    std::function<void(const std::vector<MetadataItem> &)> onSnapshot;
    /// Receives one change. Each revision of a key is reported once; those of one key come in order.
    std::function<void(const MetadataItem &)> onChange;
    /// Called with false when the store stops answering, and with true when it answers again.
    std::function<void(bool)> onReachabilityChanged;
    /// Called after the copy was verified, after changes were reported, and when the store was lost. May be null.
    std::function<void()> onAdvanced = nullptr;
    /// Called when a watch ended without an answer, with the time since it was sent. May be null.
    std::function<void(Milliseconds)> onWatchLost = nullptr;
    /// Called with the number of changes that a watch had missed, after they were reported. May be null.
    std::function<void(std::size_t)> onGapClosed = nullptr;
};

/// Keeps a copy of a key prefix up to date by a listing and subsequent watches, or by following the feed of another process.
/// A followed copy that has not been verified for MaxFollowedAge is no longer trusted, and the store is watched directly
/// instead.
class PrefixFeed
{
public:
    /// span is the maximum wait of one watch. The feed must outlive all calls to the store that it has open.
    PrefixFeed(MetadataStore &store, EventLoop loop, std::string prefix, Milliseconds span, PrefixFeedHooks hooks);

    /// Sets the pause after a reported change, during which further changes accumulate, so that one call fetches them all.
    void setCoalescingDelay(Milliseconds span)
    {
        m_coalescingDelay = span;
    }

    /// Sets the follower, which is used from now on whenever a peer can be asked.
    void setFollower(std::unique_ptr<FeedFollower> follower)
    {
        m_follower = std::move(follower);
    }

    /// Sets whether other processes follow this feed. If so, it watches in short spans, so that followers are soon informed of
    /// the age of their copy.
    void setServing(bool isServing);

    void start();

    /// Stops the feed; outstanding answers are ignored.
    void stop();

    /// The time at which the reported state was last verified to be the current one; nothing before the first listing.
    std::optional<Timestamp> verifiedAt() const
    {
        return m_verifiedAt;
    }

    /// Revision up to which changes have been reported. A change before it may have been missed unless it is at most
    /// confirmedRevision().
    std::uint64_t revision() const
    {
        return m_position.heard();
    }

    /// Revision up to which all changes have been reported.
    std::uint64_t confirmedRevision() const
    {
        return m_position.confirmed();
    }

    /// Revision of the newest reported change. It may exceed revision(), since a listing may contain changes that are newer
    /// than the revision at which its watch starts.
    std::uint64_t newestReportedRevision() const;

    /// How the changes were learned that are being reported, or were reported last.
    const FeedAdvance &lastAdvance() const
    {
        return m_lastAdvance;
    }

    /// Whether the feed watches the store itself rather than following a peer.
    bool isWatchingStore() const
    {
        return !m_isFollowing;
    }

    bool isReachable() const
    {
        return m_isReachable;
    }

    /// Maximum age of a followed copy. Longer than a serving feed needs to verify its state again, and well below the limits
    /// for configurations and for leaving endpoints, which apply to a follower even if the process that it follows is
    /// partitioned from the store.
    static constexpr Milliseconds MaxFollowedAge{1000};

private:
    void listPage(const std::string &afterKey);
    void acceptPage(MetadataReply reply);
    /// Maximum wait of a watch; shorter while followers depend on it.
    Milliseconds maxWatchSpan() const;
    void watch();
    void acceptWatch(const MetadataReply &reply, Timestamp sentAt, Milliseconds span);
    void scheduleGapCheck();
    /// Reads the changes since the confirmed revision again.
    void checkGap();
    void acceptGapCheck(const MetadataReply &reply);
    /// Watches again from the confirmed revision.
    void restartFromConfirmed();
    void reportChanges(const std::vector<MetadataItem> &items);
    void notifyAdvanced();
    /// Must be called before the verification time is moved on.
    void recordSource(FeedSource source);
    /// Follows a peer if one can be asked, otherwise watches the store.
    void followOrWatch();
    void follow();
    void acceptUpdate(const FeedUpdate &update, Timestamp updateVerifiedAt);
    void scheduleAgeCheck(std::uint64_t followAttempt);
    /// Calls stopFollowing() from the event loop, because the caller may be a callback of the connection that it closes.
    void scheduleStopFollowing(bool failed);
    void stopFollowing(bool failed);
    void retryAfterFailure(std::function<void()> step);
    void recordSuccess();
    void runIfCurrent(std::uint64_t generation, const std::function<void()> &step) const;

    MetadataStore &m_store;
    EventLoop m_loop;
    std::string m_prefix;
    Milliseconds m_watchSpan;
    Milliseconds m_coalescingDelay{0};
    PrefixFeedHooks m_hooks;
    std::vector<MetadataItem> m_listedItems;
    Timestamp m_listStartedAt;
    std::uint64_t m_listRevision = 0;
    WatchPosition m_position;
    bool m_isGapCheckScheduled = false;
    /// Number of the current gap check; callbacks of earlier ones are ignored.
    std::uint64_t m_gapCheck = 0;
    std::map<std::string, std::uint64_t> m_reportedRevisions;
    std::optional<Timestamp> m_verifiedAt;
    FeedAdvance m_lastAdvance;
    int m_failures = 0;
    bool m_isReachable = true;
    std::uint64_t m_generation = 0;
    std::unique_ptr<FeedFollower> m_follower;
    bool m_isServing = false;
    bool m_isFollowing = false;
    /// A peer has sent updates since the last watch. The next watch must not wait: the peer may have known changes that this feed lacks.
    bool m_hasFollowedPeer = false;
    /// Number of the current attempt to follow; callbacks of earlier attempts are ignored.
    std::uint64_t m_followAttempt = 0;
};

}
