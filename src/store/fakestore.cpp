#include "store/fakestore.h"

#include <algorithm>

namespace Basilbend
{

namespace Internal
{

Error storeUnavailable()
{
    return {ResultCode::StoreUnavailable, "the store did not accept the call", Execution::NotRun, Milliseconds(0)};
}

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

}

FakeStore::FakeStore(VirtualTime &time, std::uint64_t seed)
    : m_time(time)
    , m_random(seed)
{
}

bool FakeStore::fails()
{
    return faults.outage || (faults.failCall > 0 && m_random.unit() < faults.failCall);
}

bool FakeStore::isLive(const Slot &slot) const
{
    return !slot.expiry || m_time.now() < *slot.expiry;
}

std::optional<StoreEntry> FakeStore::peek(const std::string &key) const
{
    const auto it = m_slots.find(key);
    if (it == m_slots.end() || !isLive(it->second)) {
        return std::nullopt;
    }
    return StoreEntry{key, it->second.value, it->second.version};
}

std::vector<StoreEntry> FakeStore::peekAll(const std::string &prefix, std::uint64_t afterVersion) const
{
    std::vector<StoreEntry> found;
    for (auto it = m_byVersion.upper_bound(afterVersion); it != m_byVersion.end(); ++it) {
        const auto &slot = m_slots.at(it->second);
        if (Internal::startsWith(it->second, prefix) && isLive(slot)) {
            found.push_back({it->second, slot.value, slot.version});
        }
    }
    std::sort(found.begin(), found.end(), [](const auto &a, const auto &b) { return a.key < b.key; });
    return found;
}

void FakeStore::get(const std::string &key, EntryCallback callback)
{
    ++m_counts.gets;
    const bool failed = fails();
    m_time.schedule(faults.latency, [this, key, callback = std::move(callback), failed] {
        if (failed) {
            callback(Internal::storeUnavailable());
        } else {
            callback(peek(key));
        }
    });
}

void FakeStore::list(const std::string &prefix, std::uint64_t afterVersion, ListCallback callback)
{
    ++m_counts.lists;
    const bool failed = fails();
    m_time.schedule(faults.latency, [this, prefix, afterVersion, callback = std::move(callback), failed] {
        if (failed) {
            callback(Internal::storeUnavailable());
        } else {
            callback(peekAll(prefix, afterVersion));
        }
    });
}

Result<std::uint64_t> FakeStore::write(const std::string &key, std::uint64_t expectedVersion, const std::string &value, Milliseconds lease)
{
    const auto current = peek(key);
    if ((current ? current->version : 0) != expectedVersion) {
        return Error{ResultCode::StoreConflict, "the key has another version", Execution::NotRun, Milliseconds(0)};
    }
    auto &slot = m_slots[key];
    m_byVersion.erase(slot.version);
    slot.value = value;
    slot.version = ++m_version;
    slot.expiry = lease > Milliseconds(0) ? std::optional(m_time.now() + lease) : std::nullopt;
    m_byVersion[slot.version] = key;
    m_counts.writtenBytes += value.size();
    wakeWaiters(key);
    return slot.version;
}

void FakeStore::compareAndSwap(const std::string &key, std::uint64_t expectedVersion, const std::string &value, Milliseconds lease, WriteCallback callback)
{
    ++m_counts.writes;
    const Error lost{ResultCode::StoreAnswerLost, "the answer to the write was lost", Execution::Unknown, Milliseconds(0)};
    if (fails()) {
        m_time.schedule(faults.latency, [callback = std::move(callback)] { callback(Internal::storeUnavailable()); });
        return;
    }
    if (faults.delayWrite > 0 && m_random.unit() < faults.delayWrite) {
        m_time.schedule(faults.delayedEffect, [=] { static_cast<void>(write(key, expectedVersion, value, lease)); });
        m_time.schedule(faults.latency, [callback = std::move(callback), lost] { callback(lost); });
        return;
    }
    const bool lose = std::exchange(m_loseNext, false) || (faults.loseAnswer > 0 && m_random.unit() < faults.loseAnswer);
    const auto rest = faults.latency - faults.latency / 2;
    m_time.schedule(faults.latency / 2, [=, callback = std::move(callback)] {
        auto result = write(key, expectedVersion, value, lease);
        m_time.schedule(rest, [callback, lose, lost, result = std::move(result)] {
            if (lose) {
                callback(lost);
            } else {
                callback(result);
            }
        });
    });
}

void FakeStore::watch(const std::string &prefix, std::uint64_t afterVersion, Milliseconds span, ListCallback callback)
{
    ++m_counts.watches;
    if (fails()) {
        m_time.schedule(faults.latency, [callback = std::move(callback)] { callback(Internal::storeUnavailable()); });
        return;
    }
    const auto id = m_nextWaiter++;
    m_time.schedule(faults.latency / 2, [this, id, prefix, afterVersion, span, callback = std::move(callback)]() mutable {
        const auto it = m_waiters.insert(m_waiters.end(), {id, prefix, afterVersion, std::move(callback)});
        if (!peekAll(prefix, afterVersion).empty()) {
            answerWaiter(it);
            return;
        }
        m_time.schedule(span, [this, id] {
            const auto found = std::find_if(m_waiters.begin(), m_waiters.end(), [id](const Waiter &waiter) { return waiter.id == id; });
            if (found != m_waiters.end()) {
                answerWaiter(found);
            }
        });
    });
}

void FakeStore::wakeWaiters(const std::string &key)
{
    for (auto it = m_waiters.begin(); it != m_waiters.end();) {
        const auto current = it++;
        if (Internal::startsWith(key, current->prefix)) {
            answerWaiter(current);
        }
    }
}

void FakeStore::answerWaiter(std::list<Waiter>::iterator it)
{
    auto entries = peekAll(it->prefix, it->afterVersion);
    m_time.schedule(faults.latency - faults.latency / 2, [callback = std::move(it->callback), entries = std::move(entries), failed = faults.outage] {
        if (failed) {
            callback(Internal::storeUnavailable());
        } else {
            callback(entries);
        }
    });
    m_waiters.erase(it);
}

}
