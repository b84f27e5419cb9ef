#pragma once

#include "base/eventloop.h"
#include "metadata/feedfollower.h"
#include "metadata/metadatastore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Basilbend
{

struct PrefixFeedHooks {
    /// All items below the prefix, after the start and whenever the history was lost.
    std::function<void(const std::vector<MetadataItem> &)> onSnapshot;
    /// One change; each revision of a key is told once, in order.
    std::function<void(const MetadataItem &)> onChange;
    /// The store answers again, or has stopped to.
    std::function<void(bool)> onReachabilityChanged;
    /// The state was proven anew, changes have been told, or the store was lost. May be null.
    std::function<void()> onAdvanced = nullptr;
};

/// Keeps a copy of a key prefix up to date by a listing and watches behind it, or by following the feed of another process.
/// A followed copy that is not proven for MaxFollowedAge is no longer trusted; the store is then watched directly.
class PrefixFeed
{
public:
    /// Span: how long one watch waits. The feed must live as long as the store answers.
    PrefixFeed(MetadataStore &store, EventLoop loop, std::string prefix, Milliseconds span, PrefixFeedHooks hooks);

    /// Pauses this long after a change, so that changes that come together are told by one call.
    void setCoalescingDelay(Milliseconds span)
    {
        m_coalescingDelay = span;
    }

    /// From now on the feed of another process is followed when one can be.
    void setFollower(std::unique_ptr<FeedFollower> follower)
    {
        m_follower = std::move(follower);
    }

    /// Others follow this feed: it watches in short spans, so that they know soon how old their copy is.
    void setServing(bool isServing);

    void start();

    /// Stops for good; answers that are on the way are ignored.
    void stop();

    /// The time at which what was told was proven to be the current state; nothing before the first listing.
    std::optional<Timestamp> verifiedAt() const
    {
        return m_verifiedAt;
    }

    /// Everything up to this revision has been told.
    std::uint64_t revision() const
    {
        return m_revision;
    }

    /// The newest change that has been told; a listing may show changes that are newer than its position.
    std::uint64_t newestReportedRevision() const;

    /// Watches the store itself.
    bool isWatchingStore() const
    {
        return !m_isFollowing;
    }

    bool isReachable() const
    {
        return m_isReachable;
    }

    /// Longer than a serving feed needs to prove its state anew, and well below the bounds for configurations and for leaving
    /// endpoints, which hold for a follower also when the process that it follows is cut off.
    static constexpr Milliseconds MaxFollowedAge{1000};

private:
    /// A revision up to which a watch has told of no change, and when it said so.
    struct UnconfirmedRevision {
        std::uint64_t revision;
        Timestamp reportedAt;
    };

    void listPage(const std::string &afterKey);
    void acceptPage(MetadataReply reply);
    void watch();
    void acceptWatch(const MetadataReply &reply, Timestamp sentAt, Milliseconds span);
    void acceptEmptyWatch(std::uint64_t revision, Timestamp sentAt);
    void reportChanges(const std::vector<MetadataItem> &items);
    void notifyAdvanced();
    /// Follows another process or watches the store.
    void followOrWatch();
    void follow();
    void acceptUpdate(const FeedUpdate &update, Timestamp updateVerifiedAt);
    void scheduleAgeCheck(std::uint64_t followAttempt);
    /// Leaves the followed feed from the loop, because its connection may be what calls.
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
    std::uint64_t m_revision = 0;
    /// The position to move to once a later watch confirms that nothing was missed before it.
    std::optional<UnconfirmedRevision> m_unconfirmedRevision;
    std::map<std::string, std::uint64_t> m_reportedRevisions;
    std::optional<Timestamp> m_verifiedAt;
    int m_failures = 0;
    bool m_isReachable = true;
    std::uint64_t m_generation = 0;
    std::unique_ptr<FeedFollower> m_follower;
    bool m_isServing = false;
    bool m_isFollowing = false;
    /// Counts the times a feed was followed; tells late checks.
    std::uint64_t m_followAttempt = 0;
};

}
