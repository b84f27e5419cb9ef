#include "soak/promisechecker.h"

#include "http/eventstream.h"

#include <algorithm>
#include <functional>
#include <sstream>

namespace Basilbend
{

namespace
{

constexpr std::uint64_t LeastEvents = 3;
constexpr std::uint64_t EventSpread = 40;

}

PromiseChecker::PromiseChecker(NowFunction now)
    : m_now(std::move(now))
{
}

void PromiseChecker::violate(const std::string &what)
{
    m_violations.push_back(std::to_string(m_now().milliseconds()) + " " + what);
}

void PromiseChecker::expect(bool holds, const std::string &what)
{
    if (!holds) {
        violate(what);
    }
}

void PromiseChecker::noteSent(const std::string &attempt, bool mayRepeat, const std::string &apiKey)
{
    m_attempts[attempt] = {m_now(), mayRepeat, apiKey, 0, false};
}

void PromiseChecker::noteAnswer(const std::string &attempt, int status, const std::string &body)
{
    auto &known = m_attempts.at(attempt);
    // A request with a withdrawn key has to be rejected, so it does not count as answered.
    const bool isKeyRejected = status == 401 && m_withdrawn.count(known.apiKey) > 0;
    m_answered += isKeyRejected ? 0 : 1;
    if (status == 200) {
        ++m_served;
        m_latencies.push_back(m_now() - known.sentAt);
        expect(body == expectedBody(attempt), "request " + attempt + " got another body: " + body);
        expect(known.runs > 0, "request " + attempt + " was answered without a run");
    }
    const bool saysNotRun = status == 429 || status == 503 || status == 408 || status == 421;
    known.wasRefused = saysNotRun;
    expect(!saysNotRun || known.mayRepeat || known.runs == 0, "request " + attempt + " was said not to have run and had run");
}

void PromiseChecker::noteRun(const std::string &attempt, const std::string &workspace)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end()) {
        violate("request " + attempt + " of nobody ran");
        return;
    }
    auto &known = it->second;
    ++known.runs;
    expect(known.mayRepeat || known.runs == 1, "request " + attempt + " ran twice");
    expect(known.mayRepeat || !known.wasRefused, "request " + attempt + " ran after it was said not to run");
    expect(workspace == known.apiKey.substr(0, known.apiKey.find('-')), "request " + attempt + " ran for workspace " + workspace);
    const auto withdrawn = m_withdrawn.find(known.apiKey);
    const bool isTooLate = withdrawn != m_withdrawn.end() && known.sentAt > withdrawn->second + WithdrawalBound;
    expect(!isTooLate, "request " + attempt + " ran with a key withdrawn long before");
}

void PromiseChecker::noteKeyWithdrawn(const std::string &apiKey)
{
    m_withdrawn[apiKey] = m_now();
}

std::string PromiseChecker::expectedBody(const std::string &attempt)
{
    return "answer to " + attempt;
}

void PromiseChecker::noteStream(const std::string &attempt, const std::string &body)
{
    ++m_streams;
    std::uint64_t events = 0;
    EventStream stream([this, &attempt, &events](const StreamEvent &event) {
        ++events;
        const auto version = std::stoull("0" + event.data.substr(event.data.rfind('@') + 1));
        const bool isRight = event.id == events && event.data == eventData(attempt, events, version);
        expect(isRight, "stream " + attempt + " has event " + std::to_string(event.id) + " at place " + std::to_string(events) + ": " + event.data);
    });
    stream.feed(body);
    expect(events == eventsOf(attempt), "stream " + attempt + " ended as complete after " + std::to_string(events) + " events");
}

void PromiseChecker::noteAccepted(const std::string &batch, const std::vector<std::string> &items, std::uint64_t minimumVersion)
{
    auto &known = m_batches[batch];
    known.items = items;
    known.minimumVersion = minimumVersion;
    known.isAccepted = true;
    for (const auto &item : items) {
        m_refusedItems.erase(item);
    }
}

void PromiseChecker::noteRefused(const std::string &batch, const std::vector<std::string> &items)
{
    for (const auto &item : items) {
        m_refusedItems[item] = batch;
    }
}

void PromiseChecker::noteItemRun(const std::string &item)
{
    const auto it = m_refusedItems.find(item);
    expect(it == m_refusedItems.end(), "item " + item + " of a refused batch ran");
}

void PromiseChecker::noteUnknownBatch(const std::string &batch)
{
    const auto it = m_batches.find(batch);
    expect(it == m_batches.end() || !it->second.isAccepted, "accepted batch " + batch + " is said not to exist");
}

void PromiseChecker::noteResults(const std::string &batch, std::size_t position, const std::vector<ReadResult> &results)
{
    auto &known = m_batches[batch];
    for (const auto &result : results) {
        const auto [it, isNew] = known.results.emplace(position, result);
        expect(isNew || it->second == result, "batch " + batch + " changed its result at " + std::to_string(position));
        if (isNew) {
            expect(known.listed.insert(result.item).second, "item " + result.item + " is listed twice");
            checkResult(batch, known, result);
        }
        ++position;
    }
}

void PromiseChecker::checkResult(const std::string &id, const Batch &batch, const ReadResult &result)
{
    expect(std::count(batch.items.begin(), batch.items.end(), result.item) == 1, "batch " + id + " lists item " + result.item + " of another batch");
    expect(result.outcome == "completed", "item " + result.item + " is " + result.outcome);
    std::set<std::uint64_t> versions;
    std::istringstream lines(result.text);
    std::string line;
    std::uint64_t event = 0;
    while (std::getline(lines, line)) {
        ++event;
        const auto version = std::stoull("0" + line.substr(line.rfind('@') + 1));
        versions.insert(version);
        expect(line == eventData(result.item, event, version), "item " + result.item + " has a wrong event: " + line);
    }
    expect(event == eventsOf(result.item), "item " + result.item + " has " + std::to_string(event) + " events");
    expect(std::vector<std::uint64_t>(versions.begin(), versions.end()) == result.versions, "item " + result.item + " names other versions");
    expect(versions.empty() || *versions.begin() >= batch.minimumVersion, "item " + result.item + " was generated by an old version");
}

std::string PromiseChecker::eventData(const std::string &item, std::uint64_t event, std::uint64_t version)
{
    return item + "#" + std::to_string(event) + "@" + std::to_string(version);
}

std::uint64_t PromiseChecker::eventsOf(const std::string &item)
{
    return LeastEvents + std::hash<std::string>()(item) % EventSpread;
}

void PromiseChecker::noteOrder(const std::string &endpoint, const std::string &holder, std::uint64_t token, Timestamp linkHealedAt)
{
    const auto now = m_now();
    if (now - linkHealedAt < ThawSlack) {
        return;
    }
    auto &last = m_tokens[endpoint];
    expect(token >= last, "endpoint " + endpoint + " got token " + std::to_string(token) + " after " + std::to_string(last));
    last = std::max(last, token);
    auto &turns = m_turns[endpoint];
    if (turns.empty() || turns.back().holder != holder) {
        const bool isBack = turns.size() > 1 && turns[turns.size() - 2].holder == holder && now - turns[turns.size() - 2].lastAt < TurnTime;
        expect(!isBack, "holders take turns at endpoint " + endpoint);
        turns.push_back({holder, now});
    }
    turns.back().lastAt = now;
}

void PromiseChecker::noteUsageReport(std::int64_t window, const std::string &counts)
{
    const auto it = m_usage.emplace(window, counts).first;
    expect(it->second == counts, "window " + std::to_string(window) + " was reported with two sets of figures");
}

Milliseconds PromiseChecker::latencyQuantile(double share) const
{
    if (m_latencies.empty()) {
        return Milliseconds(0);
    }
    auto sorted = m_latencies;
    std::sort(sorted.begin(), sorted.end());
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

std::size_t PromiseChecker::resultCount() const
{
    std::size_t n = 0;
    for (const auto &[id, batch] : m_batches) {
        n += batch.results.size();
    }
    return n;
}

}
