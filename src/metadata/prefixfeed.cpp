#include "metadata/prefixfeed.h"

#include "metadata/watchtiming.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr Milliseconds InitialRetryPause{40};
constexpr Milliseconds MaxRetryPause{250};

/// Limits for a feed that other processes follow.
constexpr Milliseconds ServingWatchSpan{500};
constexpr Milliseconds ServingCoalescingDelay{300};

constexpr Milliseconds FollowCheckInterval{200};

/// Consecutive failures after which the store counts as unreachable. A single lost answer is not an outage.
constexpr int OutageFailureThreshold = 2;

}

const char *feedSourceName(FeedSource source)
{
    switch (source) {
    case FeedSource::Listing:
        return "listing";
    case FeedSource::Watch:
        return "watch";
    case FeedSource::Peer:
        return "peer";
    }
    return "unknown";
}

PrefixFeed::PrefixFeed(MetadataStore &store, EventLoop loop, std::string prefix, Milliseconds span, PrefixFeedHooks hooks)
    : m_store(store)
    , m_loop(std::move(loop))
    , m_prefix(std::move(prefix))
    , m_watchSpan(span)
    , m_hooks(std::move(hooks))
{
}

void PrefixFeed::start()
{
    ++m_generation;
    listPage({});
}

void PrefixFeed::stop()
{
    ++m_generation;
    ++m_gapCheck;
    m_isGapCheckScheduled = false;
    if (m_isFollowing) {
        m_isFollowing = false;
        m_follower->stop(false);
    }
}

void PrefixFeed::setServing(bool isServing)
{
    const bool hasStartedServing = isServing && !m_isServing;
    m_isServing = isServing;
    if (hasStartedServing && !m_isFollowing && m_verifiedAt && m_isReachable) {
        // The answer to the long watch that is still open is ignored.
        ++m_generation;
        watch();
    }
}

void PrefixFeed::runIfCurrent(std::uint64_t generation, const std::function<void()> &step) const
{
    if (generation == m_generation) {
        step();
    }
}

void PrefixFeed::listPage(const std::string &afterKey)
{
    if (afterKey.empty()) {
        m_listedItems.clear();
        m_listStartedAt = m_loop.now();
    }
    m_store.list(m_prefix, afterKey, [this, generation = m_generation, first = afterKey.empty()](MetadataReply reply) {
        if (generation != m_generation) {
            return;
        }
        if (first) {
            m_listRevision = reply.revision;
        }
        acceptPage(std::move(reply));
    });
}

void PrefixFeed::acceptPage(MetadataReply reply)
{
    if (reply.status != MetadataStatus::Done) {
        retryAfterFailure([this] { listPage({}); });
        return;
    }
    recordSuccess();
    std::move(reply.items.begin(), reply.items.end(), std::back_inserter(m_listedItems));
    if (reply.hasMore && !m_listedItems.empty()) {
        listPage(m_listedItems.back().key);
        return;
    }
    // The pages are not a consistent snapshot: the watch starts at the revision of the first page, and changes that a later
    // page already contained are recognized by their revision.
    m_position.reset(m_listRevision);
    ++m_gapCheck;
    m_isGapCheckScheduled = false;
    m_reportedRevisions.clear();
    for (const auto &item : m_listedItems) {
        m_reportedRevisions[item.key] = item.revision;
    }
    recordSource(FeedSource::Listing);
    m_verifiedAt = m_listStartedAt;
    const auto items = std::move(m_listedItems);
    m_listedItems.clear();
    m_hooks.onSnapshot(items);
    notifyAdvanced();
    followOrWatch();
}

Milliseconds PrefixFeed::maxWatchSpan() const
{
    return m_isServing ? std::min(m_watchSpan, ServingWatchSpan) : m_watchSpan;
}

void PrefixFeed::watch()
{
    const auto sentAt = m_loop.now();
    // An answer with a change verifies the state only for the time at which the watch was sent, so the next watch ends early
    // enough to verify it again within one span.
    const auto maxSpan = maxWatchSpan();
    const auto usualSpan = std::clamp(maxSpan - (sentAt - *m_verifiedAt), std::min(WatchTiming::MinSpan, maxSpan), maxSpan);
    const auto span = m_failures > 0 || m_hasFollowedPeer ? std::min(WatchTiming::RetrySpan, usualSpan) : usualSpan;
    m_hasFollowedPeer = false;
    m_store.watch(m_prefix, m_position.heard(), span, [this, generation = m_generation, sentAt, span](const MetadataReply &reply) {
        if (generation == m_generation) {
            acceptWatch(reply, sentAt, span);
        }
    });
}

void PrefixFeed::acceptWatch(const MetadataReply &reply, Timestamp sentAt, Milliseconds span)
{
    if (reply.status == MetadataStatus::HistoryGone) {
        recordSuccess();
        listPage({});
        return;
    }
    if (reply.status != MetadataStatus::Done) {
        if (reply.status == MetadataStatus::Unknown && m_hooks.onWatchLost) {
            m_hooks.onWatchLost(m_loop.now() - sentAt);
        }
        retryAfterFailure([this] { watch(); });
        return;
    }
    recordSuccess();
    if (reply.items.empty()) {
        // The store answers a watch without changes when its span is over, so the state is verified for that moment.
        const bool hasSpanElapsed = m_loop.now() - sentAt >= span;
        m_verifiedAt = std::max(*m_verifiedAt, hasSpanElapsed ? sentAt + span : sentAt);
        m_position.acceptEmpty(reply.revision, sentAt, m_loop.now());
        notifyAdvanced();
        followOrWatch();
        return;
    }
    recordSource(FeedSource::Watch);
    m_verifiedAt = std::max(*m_verifiedAt, sentAt);
    m_position.acceptChanges(reply.revision, span > WatchTiming::RetrySpan);
    reportChanges(reply.items);
    scheduleGapCheck();
    notifyAdvanced();
    const auto pause = m_isServing ? std::min(m_coalescingDelay, ServingCoalescingDelay) : m_coalescingDelay;
    if (pause.count() > 0) {
        m_loop.runAfter(pause, [this, generation = m_generation] { runIfCurrent(generation, [this] { followOrWatch(); }); });
    } else {
        followOrWatch();
    }
}

std::uint64_t PrefixFeed::newestReportedRevision() const
{
    auto newest = m_position.heard();
    for (const auto &[key, revision] : m_reportedRevisions) {
        newest = std::max(newest, revision);
    }
    return newest;
}

void PrefixFeed::reportChanges(const std::vector<MetadataItem> &items)
{
    for (const auto &item : items) {
        auto &reported = m_reportedRevisions[item.key];
        if (item.revision > reported) {
            reported = item.revision;
            m_hooks.onChange(item);
        }
    }
}

void PrefixFeed::recordSource(FeedSource source)
{
    m_lastAdvance.source = source;
    m_lastAdvance.maxDelay = m_verifiedAt ? std::make_optional(m_loop.now() - *m_verifiedAt) : std::nullopt;
}

void PrefixFeed::notifyAdvanced()
{
    if (m_hooks.onAdvanced) {
        m_hooks.onAdvanced();
    }
}

void PrefixFeed::followOrWatch()
{
    if (m_follower && !m_isServing && m_follower->canStart()) {
        follow();
    } else {
        watch();
    }
}

void PrefixFeed::follow()
{
    m_isFollowing = true;
    const auto followAttempt = ++m_followAttempt;
    m_follower->start(m_prefix,
                      m_position.heard(),
                      {[this](const FeedUpdate &update, Timestamp updateVerifiedAt) { acceptUpdate(update, updateVerifiedAt); },
                       [this, followAttempt] {
                           if (m_isFollowing && followAttempt == m_followAttempt) {
                               stopFollowing(true);
                           }
                       }});
    scheduleAgeCheck(followAttempt);
}

void PrefixFeed::acceptUpdate(const FeedUpdate &update, Timestamp updateVerifiedAt)
{
    if (!m_isFollowing) {
        return;
    }
    m_hasFollowedPeer = true;
    if (update.baseRevision > m_position.heard()) {
        // An earlier update was missed or could not be decoded. Its changes must be read from the store.
        scheduleStopFollowing(false);
        return;
    }
    if (update.isIncomplete || !update.isStoreReachable) {
        // Either the omitted change must be read from the store, or the store must be asked because the peer cannot reach
        // it.
        scheduleStopFollowing(!update.isStoreReachable);
        return;
    }
    recordSource(FeedSource::Peer);
    reportChanges(update.items);
    m_position.acceptPeer(update.revision, update.confirmedRevision);
    m_verifiedAt = std::max(*m_verifiedAt, updateVerifiedAt);
}

void PrefixFeed::scheduleAgeCheck(std::uint64_t followAttempt)
{
    m_loop.runAfter(FollowCheckInterval, [this, followAttempt, generation = m_generation] {
        if (generation != m_generation || !m_isFollowing || followAttempt != m_followAttempt) {
            return;
        }
        if (m_loop.now() - *m_verifiedAt > MaxFollowedAge) {
            stopFollowing(true);
        } else {
            scheduleAgeCheck(followAttempt);
        }
    });
}

void PrefixFeed::scheduleStopFollowing(bool failed)
{
    m_loop.runAfter(Milliseconds(0), [this, followAttempt = m_followAttempt, failed] {
        if (m_isFollowing && followAttempt == m_followAttempt) {
            stopFollowing(failed);
        }
    });
}

void PrefixFeed::stopFollowing(bool failed)
{
    m_isFollowing = false;
    m_follower->stop(failed);
    if (m_hasFollowedPeer) {
        m_position.returnToConfirmed();
    }
    watch();
}

void PrefixFeed::scheduleGapCheck()
{
    if (m_isGapCheckScheduled || !m_position.mayHaveGap()) {
        return;
    }
    m_isGapCheckScheduled = true;
    m_loop.runAfter(WatchTiming::gapCheckDelayFor(maxWatchSpan()), [this, gapCheck = ++m_gapCheck] {
        if (gapCheck == m_gapCheck) {
            checkGap();
        }
    });
}

void PrefixFeed::checkGap()
{
    m_store.watch(m_prefix, m_position.confirmed(), WatchTiming::RetrySpan, [this, gapCheck = m_gapCheck](const MetadataReply &reply) {
        if (gapCheck == m_gapCheck) {
            m_isGapCheckScheduled = false;
            acceptGapCheck(reply);
        }
    });
}

void PrefixFeed::acceptGapCheck(const MetadataReply &reply)
{
    if (reply.status == MetadataStatus::HistoryGone) {
        restartFromConfirmed();
        return;
    }
    // At least the changes that were heard must come again; if nothing does, the store's watches miss changes now.
    if (reply.status == MetadataStatus::Done && !reply.items.empty()) {
        const auto missed = std::count_if(reply.items.begin(), reply.items.end(), [this](const MetadataItem &item) {
            const auto it = m_reportedRevisions.find(item.key);
            return item.revision <= m_position.heard() && (it == m_reportedRevisions.end() || it->second < item.revision);
        });
        recordSource(FeedSource::Watch);
        reportChanges(reply.items);
        m_position.acceptCheck(reply.revision);
        if (missed > 0 && m_hooks.onGapClosed) {
            m_hooks.onGapClosed(static_cast<std::size_t>(missed));
        }
        notifyAdvanced();
    }
    scheduleGapCheck();
}

void PrefixFeed::restartFromConfirmed()
{
    m_position.returnToConfirmed();
    if (m_isFollowing) {
        stopFollowing(false);
        return;
    }
    ++m_generation;
    watch();
}

void PrefixFeed::retryAfterFailure(std::function<void()> step)
{
    ++m_failures;
    if (m_failures >= OutageFailureThreshold && m_isReachable) {
        m_isReachable = false;
        m_hooks.onReachabilityChanged(false);
        notifyAdvanced();
    }
    const auto pause = std::min(MaxRetryPause, InitialRetryPause * (1 << std::min(m_failures, 5)));
    m_loop.runAfter(pause, [this, generation = m_generation, step = std::move(step)] { runIfCurrent(generation, step); });
}

void PrefixFeed::recordSuccess()
{
    m_failures = 0;
    if (!m_isReachable) {
        m_isReachable = true;
        m_hooks.onReachabilityChanged(true);
    }
}

}
