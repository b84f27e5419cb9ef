#include "limits/fairqueue.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Basilbend
{

namespace Internal
{

constexpr Milliseconds PreemptionInterval{500};
constexpr Milliseconds LeastRetryAfter{100};
constexpr Milliseconds LongestRetryAfter{30000};
constexpr double MeanWeight = 0.1;

static Error overloaded(std::string message, Milliseconds retryAfter)
{
    return {ResultCode::Overloaded, std::move(message), Execution::NotRun, std::clamp(retryAfter, LeastRetryAfter, LongestRetryAfter)};
}

}

std::size_t FairQueue::Account::waiting() const
{
    return live.size() + rollouts.size();
}

const FairQueue::Waiting &FairQueue::Account::head() const
{
    return live.empty() ? rollouts.front() : live.front();
}

FairQueue::FairQueue(FairQueueSettings settings)
    : m_settings(settings)
{
}

void FairQueue::setShare(const std::string &workspace, double share)
{
    m_accounts[workspace].share = std::max(share, 1e-9);
}

Result<void> FairQueue::push(QueuedRequest request, Timestamp now)
{
    m_rate.advance(m_running.size(), now);
    auto &account = m_accounts[request.workspace];
    if (request.expectedTokens == 0) {
        request.expectedTokens = static_cast<std::uint64_t>(std::max(1.0, account.meanTokens));
    }
    if (const auto error = refuseEarly(request, account, now)) {
        ++m_counters.refusedDeadline;
        return *error;
    }
    if (m_waiting.size() >= m_settings.queueBound && !makeRoomFor(request.workspace)) {
        ++m_counters.refusedFull;
        return Internal::overloaded("the queue holds its bound of requests", waitFor(account, request.requestClass));
    }
    if (account.waiting() == 0) {
        makeBacklogged(account);
    }
    m_waiting.emplace(request.id, request.workspace);
    auto &queue = request.requestClass == RequestClass::Live ? account.live : account.rollouts;
    queue.push_back({std::move(request), now});
    return boost::outcome_v2::success();
}

std::optional<QueuedRequest> FairQueue::start(Timestamp now)
{
    if (m_running.size() >= m_settings.engineBound) {
        return std::nullopt;
    }
    auto *account = nextAccount(now);
    if (!account) {
        return std::nullopt;
    }
    m_rate.advance(m_running.size(), now);
    m_virtualTime = std::max(m_virtualTime, account->tag);
    auto &queue = account->live.empty() ? account->rollouts : account->live;
    auto request = std::move(queue.front().request);
    queue.pop_front();
    const auto ahead = std::min(request.expectedTokens, m_settings.startCharge);
    const auto prompt = m_settings.promptWeight * static_cast<double>(request.promptTokens);
    account->tag += (static_cast<double>(ahead) + prompt) / account->share;
    account->served.add(prompt, now);
    m_served.add(prompt, now);
    ++account->running;
    if (request.promptTokens > m_settings.longPrompt && m_settings.longPromptPace > 0) {
        m_nextLongPrompt = now + Milliseconds(static_cast<std::int64_t>(1000 * static_cast<double>(request.promptTokens) / m_settings.longPromptPace));
    }
    m_waiting.erase(request.id);
    m_running.emplace(request.id, Running{request, now, 0, ahead});
    ++m_counters.started;
    return request;
}

void FairQueue::charge(const AttemptId &id, std::uint64_t tokens, Timestamp now)
{
    const auto it = m_running.find(id);
    if (it == m_running.end()) {
        return;
    }
    m_rate.advance(m_running.size(), now);
    m_rate.addTokens(tokens, now);
    auto &running = it->second;
    auto &account = m_accounts[running.request.workspace];
    const auto paid = std::max(running.generated, running.chargedAhead);
    running.generated += tokens;
    account.tag += static_cast<double>(std::max(running.generated, paid) - paid) / account.share;
    account.served.add(static_cast<double>(tokens), now);
    m_served.add(static_cast<double>(tokens), now);
}

bool FairQueue::finish(const AttemptId &id, Timestamp now)
{
    const auto it = m_running.find(id);
    if (it == m_running.end()) {
        return false;
    }
    m_rate.advance(m_running.size(), now);
    const auto &running = it->second;
    auto &account = m_accounts[running.request.workspace];
    if (running.chargedAhead > running.generated) {
        account.tag -= static_cast<double>(running.chargedAhead - running.generated) / account.share;
    }
    account.meanTokens += Internal::MeanWeight * (static_cast<double>(running.generated) - account.meanTokens);
    --account.running;
    m_running.erase(it);
    return true;
}

bool FairQueue::withdraw(const AttemptId &id)
{
    const auto it = m_waiting.find(id);
    if (it == m_waiting.end()) {
        return false;
    }
    auto &account = m_accounts[it->second];
    for (auto *queue : {&account.live, &account.rollouts}) {
        const auto found = std::find_if(queue->begin(), queue->end(), [&id](const Waiting &w) { return w.request.id == id; });
        if (found != queue->end()) {
            queue->erase(found);
            break;
        }
    }
    m_waiting.erase(it);
    return true;
}

std::vector<QueueRefusal> FairQueue::takeRefusals(Timestamp now)
{
    for (auto &[name, account] : m_accounts) {
        expire(account.live, now);
        expire(account.rollouts, now);
    }
    return std::exchange(m_refusals, {});
}

std::vector<AttemptId> FairQueue::overdue(Timestamp now) const
{
    std::vector<AttemptId> ids;
    for (const auto &[id, running] : m_running) {
        if (running.request.deadline <= now) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::optional<AttemptId> FairQueue::preemption(Timestamp now)
{
    if (!m_settings.fair || m_running.size() < m_settings.engineBound || now - m_lastPreemption < Internal::PreemptionInterval) {
        return std::nullopt;
    }
    const auto deprived = [&](const auto &entry) {
        return entry.second.waiting() > 0 && now - entry.second.head().since > m_settings.preemptAfter && overService(entry.second, now) < 0
            && overPlaces(entry.second) < 0;
    };
    if (std::none_of(m_accounts.begin(), m_accounts.end(), deprived)) {
        return std::nullopt;
    }
    const Running *victim = nullptr;
    double worst = 0;
    for (const auto &[id, running] : m_running) {
        const auto &account = m_accounts.at(running.request.workspace);
        const auto over = overPlaces(account) / account.share;
        if (running.request.requestClass == RequestClass::Rollout && over > 0
            && (!victim || over > worst || (over == worst && running.since < victim->since))) {
            victim = &running;
            worst = over;
        }
    }
    if (!victim) {
        return std::nullopt;
    }
    m_lastPreemption = now;
    ++m_counters.preempted;
    return victim->request.id;
}

Milliseconds FairQueue::expectedWait(const std::string &workspace, RequestClass requestClass) const
{
    const auto it = m_accounts.find(workspace);
    return waitFor(it == m_accounts.end() ? Account{} : it->second, requestClass);
}

std::size_t FairQueue::waiting() const
{
    return m_waiting.size();
}

std::size_t FairQueue::running() const
{
    return m_running.size();
}

double FairQueue::competing() const
{
    double shares = 0;
    for (const auto &[name, account] : m_accounts) {
        shares += account.share;
    }
    double sum = 0;
    for (const auto &[name, account] : m_accounts) {
        const auto most = m_settings.streamSlack + static_cast<double>(m_settings.engineBound) * account.share / shares;
        const auto all = static_cast<double>(account.waiting() + account.running);
        sum += m_settings.fair ? std::min(all, most) : all;
    }
    return sum;
}

const FairQueueCounters &FairQueue::counters() const
{
    return m_counters;
}

/// While nobody waits, virtual time follows the running workspace that has paid least; otherwise a workspace that used idle
/// capacity would be held back by everything it used.
void FairQueue::advanceVirtualTime()
{
    auto least = std::numeric_limits<double>::max();
    for (const auto &[name, account] : m_accounts) {
        if (account.waiting() > 0) {
            return;
        }
        if (account.running > 0) {
            least = std::min(least, account.tag);
        }
    }
    if (least != std::numeric_limits<double>::max()) {
        m_virtualTime = std::max(m_virtualTime, least);
    }
}

void FairQueue::makeBacklogged(Account &account)
{
    advanceVirtualTime();
    account.tag = std::max(account.tag, m_virtualTime);
}

std::optional<Error> FairQueue::refuseEarly(const QueuedRequest &request, const Account &account, Timestamp now) const
{
    const auto left = request.deadline - now;
    const auto wait = waitFor(account, request.requestClass);
    const auto needed = wait + serviceTime(request);
    if (left > Milliseconds(0) && (needed <= left || !m_settings.refuseEarly)) {
        return std::nullopt;
    }
    return Internal::overloaded("the expected wait of " + std::to_string(wait.count()) + " ms does not leave enough time before the deadline", needed - left);
}

/// Pushes out the newest waiting request of the workspace that holds the most places for its share, rollouts first.
bool FairQueue::makeRoomFor(const std::string &workspace)
{
    const auto places = [](const Account &account, std::size_t extra) { return static_cast<double>(account.waiting() + extra) / account.share; };
    const auto longest =
        std::max_element(m_accounts.begin(), m_accounts.end(), [&](const auto &a, const auto &b) { return places(a.second, 0) < places(b.second, 0); });
    const auto &newcomer = m_accounts[workspace];
    if (!m_settings.fair || longest == m_accounts.end() || longest->second.waiting() == 0 || places(longest->second, 0) <= places(newcomer, 1)) {
        return false;
    }
    auto &queue = longest->second.rollouts.empty() ? longest->second.live : longest->second.rollouts;
    const auto id = queue.back().request.id;
    m_refusals.push_back(
        {id, Internal::overloaded("the queue is full and the workspace holds more than its share of it", waitFor(longest->second, RequestClass::Rollout))});
    queue.pop_back();
    m_waiting.erase(id);
    ++m_counters.pushedOut;
    return true;
}

/// A scan over the workspaces: tags change with every token and are compared only at a start, so a sorted order would cost
/// more than it saves.
FairQueue::Account *FairQueue::nextAccount(Timestamp now)
{
    // a quarter at most: with few places, a reservation of all of them would stop a workspace that is alone
    const auto reserved = std::min(m_settings.reservedPlaces, m_settings.engineBound / 4);
    const auto reservedOnly = m_settings.fair && m_running.size() + reserved >= m_settings.engineBound;
    Account *best = nullptr;
    auto bestIsBelow = false;
    for (auto &[name, account] : m_accounts) {
        const auto isBelow = overService(account, now) <= slackTokens() && overPlaces(account) < m_settings.streamSlack;
        if (account.waiting() == 0 || (reservedOnly && !isBelow) || hasToWaitForPace(account, now)) {
            continue;
        }
        const auto ahead = isBelow != bestIsBelow ? isBelow : best && account.tag < best->tag;
        const auto earlier = best && account.head().since < best->head().since;
        if (!best || (m_settings.fair ? ahead : earlier)) {
            best = &account;
            bestIsBelow = isBelow;
        }
    }
    return best;
}

bool FairQueue::hasToWaitForPace(const Account &account, Timestamp now) const
{
    return m_settings.fair && m_settings.longPromptPace > 0 && now < m_nextLongPrompt && account.head().request.promptTokens > m_settings.longPrompt
        && account.running < m_running.size() && overService(account, now) > 0;
}

/// What the workspace got in the last 10 s above its part of all service.
double FairQueue::overService(const Account &account, Timestamp now) const
{
    return account.served.value(now) - m_served.value(now) * portion(account, false);
}

/// Places in the engine that the workspace holds above its part of them: what it is about to get, which its tokens show only
/// seconds later.
double FairQueue::overPlaces(const Account &account) const
{
    return static_cast<double>(account.running) - static_cast<double>(m_settings.engineBound) * portion(account, false);
}

double FairQueue::slackTokens() const
{
    constexpr double WindowSeconds = 10;
    return m_settings.streamSlack * m_rate.tokensPerSecond() * WindowSeconds;
}

Milliseconds FairQueue::serviceTime(const QueuedRequest &request) const
{
    const auto rate = m_rate.tokensPerSecond();
    return Milliseconds(rate <= 0 ? 0 : static_cast<std::int64_t>(1000 * static_cast<double>(request.expectedTokens) / rate));
}

Milliseconds FairQueue::waitFor(const Account &account, RequestClass requestClass) const
{
    const auto capacity = m_rate.tokensPerSecond() * static_cast<double>(m_settings.engineBound);
    if (capacity <= 0 || (m_waiting.empty() && m_running.size() < m_settings.engineBound)) {
        return Milliseconds(0);
    }
    double ahead = account.meanTokens / static_cast<double>(m_settings.engineBound);
    for (const auto &waiting : account.live) {
        ahead += static_cast<double>(waiting.request.expectedTokens);
    }
    if (requestClass == RequestClass::Rollout) {
        for (const auto &waiting : account.rollouts) {
            ahead += static_cast<double>(waiting.request.expectedTokens);
        }
    }
    return Milliseconds(static_cast<std::int64_t>(1000 * ahead / (capacity * portion(account, true))));
}

/// The workspace's part of the shares, of all known workspaces or of those that have work.
double FairQueue::portion(const Account &account, bool activeOnly) const
{
    double sum = activeOnly && account.waiting() == 0 && account.running == 0 ? account.share : 0;
    for (const auto &[name, other] : m_accounts) {
        sum += !activeOnly || other.waiting() > 0 || other.running > 0 ? other.share : 0;
    }
    return sum <= 0 ? 1 : account.share / sum;
}

void FairQueue::expire(std::deque<Waiting> &queue, Timestamp now)
{
    const auto late = [&](const Waiting &waiting) {
        if (waiting.request.deadline > now + (m_settings.refuseEarly ? serviceTime(waiting.request) : Milliseconds(0))) {
            return false;
        }
        m_waiting.erase(waiting.request.id);
        m_refusals.push_back(
            {waiting.request.id, {ResultCode::DeadlineExceeded, "the deadline can't be met any more", Execution::NotRun, Internal::LeastRetryAfter}});
        ++m_counters.expired;
        return true;
    };
    // stable order of the rest; remove_if visits each element once, so each refusal is recorded once
    queue.erase(std::remove_if(queue.begin(), queue.end(), late), queue.end());
}

}
