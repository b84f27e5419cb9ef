#include "scheduling/rewardcalls.h"

#include "forwarding/answerend.h"
#include "forwarding/servicechoice.h"
#include "http/socketoptions.h"
#include "scheduling/rewardorder.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr Milliseconds ConnectTimeout{250};
/// Delay before a refused call is repeated.
constexpr Milliseconds RefusalRetryDelay{20};
/// Delay after the first failure of a text, multiplied by the number of its failures.
constexpr Milliseconds FailureRetryDelay{20};
constexpr int MaxRetryDelayFactor = 25;
/// The endpoint's response at its time limit may still be in transit when the limit expires here.
constexpr Milliseconds ResponseMargin{20};
constexpr int ServerErrorStatus = 500;
/// Limit on the body of a response, which is not used.
constexpr std::size_t MaxIgnoredBytes = 1024 * 1024;

}

RewardCalls::RewardCalls(RewardContext context, RewardHooks hooks)
    : m_context(std::move(context))
    , m_hooks(std::move(hooks))
    , m_picker(m_context.zone)
{
}

void RewardCalls::add(std::shared_ptr<const OpenBatch> batch, std::size_t item)
{
    Entry entry;
    entry.batch = std::move(batch);
    entry.item = item;
    m_entries.emplace(++m_lastNumber, std::move(entry));
}

void RewardCalls::drop(const std::string &batch)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (it->second.batch->index().id != batch) {
            ++it;
            continue;
        }
        if (it->second.isInFlight) {
            m_picker.recordEnded(it->second.endpoint.id);
        }
        it = m_entries.erase(it);
    }
}

void RewardCalls::clear()
{
    for (const auto &[number, entry] : m_entries) {
        if (entry.isInFlight) {
            m_picker.recordEnded(entry.endpoint.id);
        }
    }
    m_entries.clear();
}

const RouteRule *RewardCalls::routeOf(const Entry &entry) const
{
    const auto *routes = m_context.view.routes();
    const auto &request = requestOf(entry);
    const auto *route = routes == nullptr ? nullptr : routes->find(request.host, request.path);
    return route == nullptr || route->shares.empty() ? nullptr : route;
}

Timestamp RewardCalls::dueAt(const Entry &entry) const
{
    const auto *routes = m_context.view.routes();
    const auto *route = routes == nullptr ? nullptr : routes->routeNamed(entry.batch->index().route);
    return Timestamp(entry.batch->index().submittedAtMs) + (route == nullptr ? Milliseconds(0) : route->resultDeadline);
}

std::vector<std::uint64_t> RewardCalls::waitingInOrder() const
{
    const auto now = m_context.loop.now();
    std::vector<std::uint64_t> numbers;
    std::vector<WaitingReward> waiting;
    for (const auto &[number, entry] : m_entries) {
        if (!entry.isInFlight && now >= entry.notBefore) {
            waiting.push_back({numbers.size(), entry.failures, entry.batch->unfinishedInGroup(entry.item), dueAt(entry)});
            numbers.push_back(number);
        }
    }
    std::vector<std::uint64_t> ordered;
    for (const auto index : orderRewards(std::move(waiting))) {
        ordered.push_back(numbers[index]);
    }
    return ordered;
}

void RewardCalls::poll()
{
    std::set<std::string> busyServices;
    for (const auto number : waitingInOrder()) {
        auto &entry = m_entries.at(number);
        if (entry.batch->progress(entry.item).phase != ItemPhase::Scoring) {
            m_entries.erase(number);
            continue;
        }
        const auto *route = routeOf(entry);
        if (route == nullptr) {
            logUnroutedReward(entry);
            continue;
        }
        entry.isUnroutedLogged = false;
        const auto &service = chooseService(*route, m_context.random);
        if (busyServices.count(service) > 0) {
            continue;
        }
        const auto ready = m_context.view.usableEndpoints(service, *route, entry.batch->index().workspace);
        const auto free = freeEndpoints(ready, service);
        if (free.empty()) {
            busyServices.insert(service);
        } else if (const auto *endpoint = chooseEndpoint(entry, ready, free)) {
            send(number, entry, *route, *endpoint);
        }
    }
}

std::vector<const EndpointRecord *> RewardCalls::freeEndpoints(std::vector<const EndpointRecord *> ready, const std::string &service) const
{
    const auto now = m_context.loop.now();
    const auto *spec = m_context.view.routes()->serviceNamed(service);
    const auto isBusy = [&](const EndpointRecord *endpoint) {
        const bool isLimited = spec != nullptr && m_context.requestLimiter.requestsLeft(*endpoint, *spec, now) == 0;
        return isLimited || m_picker.inFlight(endpoint->id) >= maxRewardCalls(endpoint->slots);
    };
    ready.erase(std::remove_if(ready.begin(), ready.end(), isBusy), ready.end());
    return ready;
}

const EndpointRecord *
RewardCalls::chooseEndpoint(Entry &entry, const std::vector<const EndpointRecord *> &ready, const std::vector<const EndpointRecord *> &free)
{
    const bool allFailed =
        std::all_of(ready.begin(), ready.end(), [&entry](const EndpointRecord *endpoint) { return entry.failedEndpoints.count(endpoint->id) > 0; });
    if (allFailed) {
        entry.failedEndpoints.clear();
    }
    return m_picker.pick(free, entry.failedEndpoints, m_context.loop.now());
}

void RewardCalls::send(std::uint64_t number, Entry &entry, const RouteRule &route, const EndpointRecord &endpoint)
{
    const auto now = m_context.loop.now();
    const auto limit = rewardTimeLimit({route.latencyTarget, route.timeout, entry.timeouts, dueAt(entry) - now});
    entry.isInFlight = true;
    entry.endpoint = endpoint;
    entry.sentAt = now;
    entry.responseFields = {};
    const int call = ++entry.calls;
    m_picker.recordSent(endpoint.id);
    m_context.requestLimiter.recordRequest(endpoint, now);
    m_context.metrics.count("basilbend_reward_calls_total");
    m_context.log.info("reward_sent",
                       {{"batch", entry.batch->index().id},
                        {"item", entry.batch->item(entry.item).id},
                        {"reward", requestOf(entry).id},
                        {"endpoint", endpoint.id},
                        {"call", call},
                        {"unfinished_in_group", entry.batch->unfinishedInGroup(entry.item)},
                        {"limit_ms", limit}});
    const auto request = makeRewardRequest(requestOf(entry), endpoint.id, limit);
    entry.call = m_context.client.sendAgain(parseSocketEndpoint(endpoint.address), request, callHooks(number), ConnectTimeout, entry.connections);
    m_context.loop.runAfter(limit + ResponseMargin, [this, number, call] { handleTimeout(number, call); });
}

CallHooks RewardCalls::callHooks(std::uint64_t number)
{
    CallHooks hooks;
    hooks.matchResponse = [this, number](const ResponseHead &head) {
        const auto it = m_entries.find(number);
        return it == m_entries.end() ? ResponseMatch::OtherCall : matchAttemptResponse(head, requestOf(it->second).id);
    };
    hooks.onHead = [this, number](const ResponseHead &head) {
        const auto it = m_entries.find(number);
        if (it == m_entries.end()) {
            return;
        }
        auto &entry = it->second;
        entry.responseFields = decodeResponseFields(head);
        if (entry.responseFields.isLeaving) {
            m_context.view.markEndpointLeaving(entry.endpoint.id, entry.endpoint.startedAtMs);
        }
        if (entry.responseFields.rate) {
            const EndpointStart start{entry.endpoint.id, entry.endpoint.startedAtMs};
            m_context.requestLimiter.announcedLimits().record(start, *entry.responseFields.rate, entry.sentAt, m_context.loop.now());
        }
    };
    // Only the signature in the response head is used.
    hooks.onBody = [](std::string_view) {};
    hooks.maxBodyBytes = MaxIgnoredBytes;
    hooks.onEnd = [this, number](CallOutcome end) { acceptEnd(number, end); };
    return hooks;
}

void RewardCalls::acceptEnd(std::uint64_t number, CallOutcome end)
{
    const auto it = m_entries.find(number);
    if (it == m_entries.end() || !it->second.isInFlight) {
        return;
    }
    auto &entry = it->second;
    switch (judgeAnswerEnd(end, false, entry.responseFields.notExecuted)) {
    case AnswerEnd::Final:
        conclude(number, end);
        break;
    case AnswerEnd::Truncated:
        conclude(number, CallOutcome::Broken);
        break;
    case AnswerEnd::Unconfirmed:
        confirmEnd(number, entry);
        break;
    }
}

void RewardCalls::confirmEnd(std::uint64_t number, Entry &entry)
{
    const auto *service = m_context.view.routes() == nullptr ? nullptr : m_context.view.routes()->serviceNamed(entry.endpoint.service);
    const auto healthPath = service == nullptr ? std::string() : service->identityPath();
    entry.check = std::make_unique<IdentityCheck>(m_context.client, m_context.loop, entry.endpoint, healthPath);
    entry.check->start([this, number, call = entry.calls](bool isSame) {
        const auto it = m_entries.find(number);
        if (it != m_entries.end() && it->second.isInFlight && it->second.calls == call) {
            conclude(number, isSame ? CallOutcome::Complete : CallOutcome::Broken);
        }
    });
}

void RewardCalls::conclude(std::uint64_t number, CallOutcome end)
{
    const auto it = m_entries.find(number);
    auto &entry = it->second;
    const auto &responseFields = entry.responseFields;
    const auto outcome = classifyResponse(end, responseFields.status, responseFields.notExecuted, responseFields.isSigned());
    entry.isInFlight = false;
    m_picker.recordEnded(entry.endpoint.id);
    updatePicker(entry, end, outcome);
    // A response without the id of the request may be a late response to another call.
    const bool isSuccess = responseFields.status >= 200 && responseFields.status < 300 && responseFields.attemptId == requestOf(entry).id;
    const bool isScored = outcome == ForwardOutcome::FinalResponse && isSuccess;
    if (!isScored) {
        logFailure(entry, callOutcomeName(end));
        retry(number, entry, outcome);
        return;
    }
    const auto batch = entry.batch->index().id;
    const auto item = entry.item;
    auto score = responseFields.signature;
    m_context.metrics.observe("basilbend_reward_seconds", static_cast<double>((m_context.loop.now() - entry.sentAt).count()) / 1000);
    m_entries.erase(it);
    m_hooks.onScore(batch, item, std::move(score));
}

void RewardCalls::handleTimeout(std::uint64_t entryNumber, int callNumber)
{
    const auto it = m_entries.find(entryNumber);
    if (it == m_entries.end() || !it->second.isInFlight || it->second.calls != callNumber) {
        return;
    }
    auto &entry = it->second;
    entry.call.cancel();
    entry.check.reset();
    entry.isInFlight = false;
    ++entry.timeouts;
    m_picker.recordEnded(entry.endpoint.id);
    m_picker.recordTimeout(entry.endpoint.id, m_context.loop.now());
    logFailure(entry, "timeout");
    retry(entryNumber, entry, ForwardOutcome::MayHaveRun);
}

void RewardCalls::updatePicker(const Entry &entry, CallOutcome end, ForwardOutcome outcome)
{
    const auto now = m_context.loop.now();
    const auto &load = entry.responseFields.load;
    if (load) {
        m_picker.recordQueueLength(entry.endpoint.id, load->waiting, now);
    }
    if (outcome == ForwardOutcome::FinalResponse) {
        m_picker.recordLatency(entry.endpoint.id, now - entry.sentAt, now);
    } else if (end == CallOutcome::Complete && outcome == ForwardOutcome::NotRun) {
        m_picker.recordFull(entry.endpoint.id, now);
    } else if (outcome != ForwardOutcome::ServerError) {
        // A 500 response says more about the text than about the endpoint: some texts can never be scored.
        m_picker.recordFailure(entry.endpoint.id, now);
    }
}

void RewardCalls::retry(std::uint64_t number, Entry &entry, ForwardOutcome outcome)
{
    const auto now = m_context.loop.now();
    if (outcome == ForwardOutcome::NotRun) {
        entry.notBefore = now + RefusalRetryDelay;
    } else {
        ++entry.failures;
        entry.failedEndpoints.insert(entry.endpoint.id);
        entry.notBefore = now + FailureRetryDelay * std::min(entry.failures, MaxRetryDelayFactor);
    }
    m_context.loop.runAfter(entry.notBefore - now, m_hooks.onRetryDue);
    if (outcome != ForwardOutcome::ServerError || entry.responseFields.status != ServerErrorStatus) {
        return;
    }
    const auto *route = routeOf(entry);
    const auto *routes = m_context.view.routes();
    const auto *batchRoute = routes == nullptr ? nullptr : routes->routeNamed(entry.batch->index().route);
    const int attempts = std::max(route == nullptr ? 1 : route->attempts, batchRoute == nullptr ? 1 : batchRoute->attempts);
    const auto batch = entry.batch;
    const auto item = entry.item;
    m_hooks.onServerError(batch->index().id, item, attempts);
    if (batch->progress(item).phase != ItemPhase::Scoring) {
        m_entries.erase(number);
    }
}

void RewardCalls::logFailure(const Entry &entry, std::string_view end) const
{
    m_context.log.warning("reward_failed",
                          {{"batch", entry.batch->index().id},
                           {"item", entry.batch->item(entry.item).id},
                           {"reward", requestOf(entry).id},
                           {"endpoint", entry.endpoint.id},
                           {"end", end},
                           {"status", entry.responseFields.status},
                           {"failures", entry.failures},
                           {"after_ms", m_context.loop.now() - entry.sentAt}});
}

void RewardCalls::logUnroutedReward(Entry &entry) const
{
    if (entry.isUnroutedLogged) {
        return;
    }
    entry.isUnroutedLogged = true;
    m_context.log.warning("reward_unrouted",
                          {{"batch", entry.batch->index().id},
                           {"item", entry.batch->item(entry.item).id},
                           {"reward", requestOf(entry).id},
                           {"host", requestOf(entry).host},
                           {"path", requestOf(entry).path}});
}

}
