#include "metadata/prefixfeed.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr Milliseconds FirstRetryPause{40};
constexpr Milliseconds LongestRetryPause{250};

/// Shortest wait of a watch.
constexpr Milliseconds ShortestSpan{300};

/// Longest time during which the store's watches may miss changes, with a margin: such gaps last up to one second.
constexpr Milliseconds LongestMissedSpan{1500};

/// Spans of a feed that others follow.
constexpr Milliseconds ServingSpan{500};
constexpr Milliseconds ServingGatherTime{300};

constexpr Milliseconds FollowCheckInterval{200};

/// One lost answer is no outage; the second one in a row is.
constexpr int FailuresOfOutage = 2;

}

PrefixFeed::PrefixFeed(MetadataStore &store, EventLoop loop, std::string prefix, Milliseconds span, PrefixFeedHooks hooks)
    : m_store(store)
    , m_loop(std::move(loop))
    , m_prefix(std::move(prefix))
    , m_span(span)
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
    if (m_isFollowing) {
        m_isFollowing = false;
        m_follower->stop(false);
    }
}

void PrefixFeed::setServing(bool isServing)
{
    const bool hasBegun = isServing && !m_isServing;
    m_isServing = isServing;
    if (hasBegun && !m_isFollowing && m_currentAsOf && m_reachable) {
        // The answer to the long watch under way is ignored.
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
        m_pages.clear();
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
    noteSuccess();
    std::move(reply.items.begin(), reply.items.end(), std::back_inserter(m_pages));
    if (reply.hasMore && !m_pages.empty()) {
        listPage(m_pages.back().key);
        return;
    }
    // Pages are not a snapshot: the watch goes on from the first page, and changes that a later page already shows are
    // recognized by their revision.
    m_revision = m_listRevision;
    m_unconfirmed.reset();
    m_toldRevisions.clear();
    for (const auto &item : m_pages) {
        m_toldRevisions[item.key] = item.revision;
    }
    m_currentAsOf = m_listStartedAt;
    const auto items = std::move(m_pages);
    m_pages.clear();
    m_hooks.onSnapshot(items);
    noteAdvanced();
    proceed();
}

void PrefixFeed::watch()
{
    const auto sentAt = m_loop.now();
    // An answer with a change proves the state only for the time at which the watch was sent, so the next watch ends early
    // enough to prove it again within one span.
    const auto longest = m_isServing ? std::min(m_span, ServingSpan) : m_span;
    const auto span = std::clamp(longest - (sentAt - *m_currentAsOf), std::min(ShortestSpan, longest), longest);
    m_store.watch(m_prefix, m_revision, span, [this, generation = m_generation, sentAt, span](const MetadataReply &reply) {
        if (generation == m_generation) {
            acceptWatch(reply, sentAt, span);
        }
    });
}

void PrefixFeed::acceptWatch(const MetadataReply &reply, Timestamp sentAt, Milliseconds span)
{
    if (reply.status == MetadataStatus::HistoryGone) {
        noteSuccess();
        listPage({});
        return;
    }
    if (reply.status != MetadataStatus::Done) {
        retryAfterFailure([this] { watch(); });
        return;
    }
    noteSuccess();
    if (reply.items.empty()) {
        // The store answers an empty watch when its span is over, so the state is proven for that moment.
        const bool waitedOut = m_loop.now() - sentAt >= span;
        m_currentAsOf = std::max(*m_currentAsOf, waitedOut ? sentAt + span : sentAt);
        acceptEmptyWatch(reply.revision, sentAt);
        noteAdvanced();
        proceed();
        return;
    }
    m_currentAsOf = std::max(*m_currentAsOf, sentAt);
    m_unconfirmed.reset();
    m_revision = std::max(m_revision, reply.revision);
    tell(reply.items);
    noteAdvanced();
    const auto pause = m_isServing ? std::min(m_gatherTime, ServingGatherTime) : m_gatherTime;
    if (pause.count() > 0) {
        m_loop.runAfter(pause, [this, generation = m_generation] { runIfCurrent(generation, [this] { proceed(); }); });
    } else {
        proceed();
    }
}

std::uint64_t PrefixFeed::toldRevision() const
{
    auto newest = m_revision;
    for (const auto &[key, revision] : m_toldRevisions) {
        newest = std::max(newest, revision);
    }
    return newest;
}

void PrefixFeed::tell(const std::vector<MetadataItem> &items)
{
    for (const auto &item : items) {
        auto &told = m_toldRevisions[item.key];
        if (item.revision > told) {
            told = item.revision;
            m_hooks.onChange(item);
        }
    }
}

void PrefixFeed::noteAdvanced()
{
    if (m_hooks.onAdvanced) {
        m_hooks.onAdvanced();
    }
}

void PrefixFeed::proceed()
{
    if (m_follower && !m_isServing && m_follower->mayStart()) {
        follow();
    } else {
        watch();
    }
}

void PrefixFeed::follow()
{
    m_isFollowing = true;
    const auto following = ++m_following;
    m_follower->start(m_prefix,
                      m_revision,
                      {[this](const FeedUpdate &update, Timestamp asOf) { acceptUpdate(update, asOf); },
                       [this, following] {
                           if (m_isFollowing && following == m_following) {
                               leave(true);
                           }
                       }});
    checkFollowed(following);
}

void PrefixFeed::acceptUpdate(const FeedUpdate &update, Timestamp asOf)
{
    if (!m_isFollowing) {
        return;
    }
    if (update.after > m_revision) {
        // An update before this one was left out or could not be read. Its changes must come from the store.
        leaveSoon(false);
        return;
    }
    if (update.isIncomplete || !update.isReachable) {
        // The store has the change, or must be asked whether it is there.
        leaveSoon(!update.isReachable);
        return;
    }
    tell(update.items);
    m_unconfirmed.reset();
    m_revision = std::max(m_revision, update.revision);
    m_currentAsOf = std::max(*m_currentAsOf, asOf);
}

void PrefixFeed::checkFollowed(std::uint64_t following)
{
    m_loop.runAfter(FollowCheckInterval, [this, following, generation = m_generation] {
        if (generation != m_generation || !m_isFollowing || following != m_following) {
            return;
        }
        if (m_loop.now() - *m_currentAsOf > LongestFollowedAge) {
            leave(true);
        } else {
            checkFollowed(following);
        }
    });
}

void PrefixFeed::leaveSoon(bool failed)
{
    m_loop.runAfter(Milliseconds(0), [this, following = m_following, failed] {
        if (m_isFollowing && following == m_following) {
            leave(failed);
        }
    });
}

void PrefixFeed::leave(bool failed)
{
    m_isFollowing = false;
    m_follower->stop(failed);
    watch();
}

void PrefixFeed::acceptEmptyWatch(std::uint64_t revision, Timestamp sentAt)
{
    // A watch that starts after the store's watches hear again reports at once what earlier ones missed. Only such a watch,
    // when it finds nothing, confirms a revision that was told before.
    if (m_unconfirmed && sentAt - m_unconfirmed->toldAt < LongestMissedSpan) {
        return;
    }
    if (m_unconfirmed) {
        m_revision = std::max(m_revision, m_unconfirmed->revision);
    }
    m_unconfirmed = SilentRevision{revision, m_loop.now()};
}

void PrefixFeed::retryAfterFailure(std::function<void()> step)
{
    ++m_failures;
    if (m_failures >= FailuresOfOutage && m_reachable) {
        m_reachable = false;
        m_hooks.onReachable(false);
        noteAdvanced();
    }
    const auto pause = std::min(LongestRetryPause, FirstRetryPause * (1 << std::min(m_failures, 5)));
    m_loop.runAfter(pause, [this, generation = m_generation, step = std::move(step)] { runIfCurrent(generation, step); });
}

void PrefixFeed::noteSuccess()
{
    m_failures = 0;
    if (!m_reachable) {
        m_reachable = true;
        m_hooks.onReachable(true);
    }
}

}
