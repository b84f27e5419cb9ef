#pragma once

#include "base/eventloop.h"
#include "metadata/metadatastore.h"
#include "store/virtualtime.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// Returns an event loop that runs in virtual time.
inline EventLoop virtualLoop(VirtualTime &time)
{
    return {[&time] { return time.now(); }, [&time](Milliseconds span, std::function<void()> function) { time.schedule(span, std::move(function)); }};
}

/// In-memory metadata store in virtual time with injectable faults.
class FakeMetadataStore : public MetadataStore
{
public:
    struct Faults {
        /// All calls are answered with Refused.
        bool refuses = false;
        /// No call is answered; the caller gets Unknown after SilenceTime.
        bool doesNotAnswer = false;
        /// Watches report no changes; those that wait hear only of later ones afterwards.
        bool watchesMissChanges = false;
        /// A watch that has nothing to report at once gets no answer at all; its caller gets Unknown after the time limit of the watch.
        bool waitingWatchesAreLost = false;
        /// Number of next waiting watches that are lost in this way.
        int lostWaitingWatches = 0;
        /// Number of next commits that are executed but whose answers are lost.
        int lostCommits = 0;
        /// A watch after an older revision is answered with HistoryGone.
        std::uint64_t compactedRevision = 0;
    };

    explicit FakeMetadataStore(VirtualTime &time);

    void get(const std::string &key, Callback callback) override;
    void list(const std::string &prefix, const std::string &afterKey, Callback callback) override;
    void watch(const std::string &prefix, std::uint64_t afterRevision, Milliseconds span, Callback callback) override;
    void commit(const MetadataChange &change, Callback callback) override;
    void createLease(Milliseconds span, Callback callback) override;
    void renewLease(std::uint64_t lease, Callback callback) override;
    void revokeLease(std::uint64_t lease, Callback callback) override;

    /// Writes a key as the operator or an endpoint does.
    void put(const std::string &key, const std::string &value);
    void erase(const std::string &key);
    const MetadataItem *peek(const std::string &key) const;
    std::vector<std::string> keysBelow(const std::string &prefix) const;

    /// Maximum number of items in one page.
    std::size_t pageItems = 500;
    Faults faults;
    int calls = 0;

    /// Time from the execution of a call to its answer.
    Milliseconds latency{4};
    static constexpr Milliseconds SilenceTime{1200};

private:
    struct Watcher {
        std::string prefix;
        std::uint64_t after = 0;
        Callback callback;
        bool isOpen = true;
        /// A change happened while the store was down; such a watch ends without an answer.
        bool wasInterrupted = false;
    };

    void answer(Callback callback, MetadataReply reply);
    bool answerWithFault(const Callback &callback);
    bool isDown() const;
    void notifyWatchers();
    void endWatch(const std::shared_ptr<Watcher> &watcher);
    void change(MetadataItem item);
    void dropExpiredLeases();
    MetadataReply eventsAfter(const std::string &prefix, std::uint64_t revision) const;
    MetadataReply execute(const MetadataChange &change);

    VirtualTime &m_time;
    std::map<std::string, MetadataItem> m_items;
    std::vector<MetadataItem> m_history;
    std::map<std::uint64_t, std::pair<Timestamp, Milliseconds>> m_leases;
    std::deque<std::shared_ptr<Watcher>> m_watchers;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 0;
};

}
