#pragma once

#include "base/eventloop.h"
#include "metadata/metadatastore.h"

#include <functional>
#include <map>
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
    std::function<void(bool)> onReachable;
};

/// Keeps a copy of a key prefix up to date by a listing and watches behind it.
class PrefixFeed
{
public:
    /// Span: how long one watch waits. The feed must live as long as the store answers.
    PrefixFeed(MetadataStore &store, EventLoop loop, std::string prefix, Milliseconds span, PrefixFeedHooks hooks);

    /// Pauses this long after a change, so that changes that come together are told by one call.
    void setGatherTime(Milliseconds span)
    {
        m_gatherTime = span;
    }

    void start();

    /// Stops for good; answers that are on the way are ignored.
    void stop();

    /// The time at which what was told was proven to be the current state; nothing before the first listing.
    std::optional<Timestamp> currentAsOf() const
    {
        return m_currentAsOf;
    }

private:
    /// A revision up to which a watch has told of no change, and when it said so.
    struct SilentRevision {
        std::uint64_t revision;
        Timestamp toldAt;
    };

    void listPage(const std::string &afterKey);
    void acceptPage(MetadataReply reply);
    void watch();
    void acceptWatch(const MetadataReply &reply, Timestamp sentAt, Milliseconds span);
    void acceptEmptyWatch(std::uint64_t revision, Timestamp sentAt);
    void retryAfterFailure(std::function<void()> step);
    void noteSuccess();
    void runIfCurrent(std::uint64_t generation, const std::function<void()> &step) const;

    MetadataStore &m_store;
    EventLoop m_loop;
    std::string m_prefix;
    Milliseconds m_span;
    Milliseconds m_gatherTime{0};
    PrefixFeedHooks m_hooks;
    std::vector<MetadataItem> m_pages;
    Timestamp m_listStartedAt;
    std::uint64_t m_listRevision = 0;
    std::uint64_t m_revision = 0;
    /// The position to move to once a later watch confirms that nothing was missed before it.
    std::optional<SilentRevision> m_unconfirmed;
    std::map<std::string, std::uint64_t> m_toldRevisions;
    std::optional<Timestamp> m_currentAsOf;
    int m_failures = 0;
    bool m_reachable = true;
    std::uint64_t m_generation = 0;
};

}
