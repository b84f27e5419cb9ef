#include "standins/callerload.h"

#include "base/systemclock.h"
#include "standins/completiontext.h"

#include <algorithm>
#include <condition_variable>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace Basilbend
{

namespace Internal
{

std::string completionTextOf(const nlohmann::json &json)
{
    if (const auto choices = json.find("choices"); choices != json.end() && choices->is_array() && !choices->empty()) {
        return choices->front().value("text", std::string());
    }
    return json.value("text", std::string());
}

bool isExpectedAnswer(const PlannedCall &call, const nlohmann::json &json)
{
    if (!json.is_object()) {
        return false;
    }
    if (!call.route.empty()) {
        return json.value("request_id", std::string()) == call.id;
    }
    return completionTextOf(json) == CompletionText(call.prompt, 0).text(call.maxTokens);
}

std::string failureName(const HttpClientResponse &response)
{
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    if (response.failure != TransportFailure::None) {
        return "transport";
    }
    if (json.is_object() && json.contains("error") && json["error"].is_object()) {
        return json["error"].value("name", "unnamed");
    }
    return "status_" + std::to_string(response.status);
}

}

CallerLoad::CallerLoad(HttpClient &client, std::vector<std::string> entries, std::map<std::string, std::string> keys)
    : m_client(client)
    , m_entries(std::move(entries))
    , m_keys(std::move(keys))
{
}

void CallerLoad::run(const std::vector<PlannedCall> &calls, Milliseconds timeout)
{
    std::condition_variable done;
    std::size_t open = calls.size();
    const auto begin = systemNow();
    for (std::size_t n = 0; n < calls.size(); ++n) {
        const auto &call = calls[n];
        std::this_thread::sleep_for(begin + call.at - systemNow());
        const auto sent = systemNow();
        m_client.send(requestFor(call, n, timeout), [this, &call, &done, &open, sent](const HttpClientResponse &response) {
            record(call, response, systemNow() - sent);
            const std::lock_guard lock(m_mutex);
            --open;
            done.notify_one();
        });
    }
    std::unique_lock lock(m_mutex);
    done.wait(lock, [&open] { return open == 0; });
}

std::map<std::string, CallerReport> CallerLoad::reports() const
{
    const std::lock_guard lock(m_mutex);
    return m_reports;
}

HttpClientRequest CallerLoad::requestFor(const PlannedCall &call, std::size_t number, Milliseconds timeout) const
{
    HttpClientRequest request;
    request.method = "POST";
    request.timeout = timeout;
    const auto &entry = m_entries[number % m_entries.size()];
    if (const auto key = m_keys.find(call.workspace); key != m_keys.end()) {
        request.headers["authorization"] = "Bearer " + key->second;
    }
    if (!call.route.empty()) {
        request.url = entry + "/routes/" + call.route + "/reports";
        request.freshConnection = true;
        request.body = nlohmann::json{{"request_id", call.id}, {"text", call.prompt}}.dump();
    } else {
        request.url = entry + "/v1/completions";
        request.body = nlohmann::json{{"model", call.model}, {"prompt", call.prompt}, {"max_tokens", call.maxTokens}}.dump();
    }
    return request;
}

void CallerLoad::record(const PlannedCall &call, const HttpClientResponse &response, Milliseconds latency)
{
    const bool answered = response.failure == TransportFailure::None && response.status == 200;
    const auto tokens = call.route.empty() ? std::min(call.maxTokens, CompletionText(call.prompt, 0).length()) : 0;
    const bool expected = answered && Internal::isExpectedAnswer(call, nlohmann::json::parse(response.body, nullptr, false));
    const std::lock_guard lock(m_mutex);
    auto &report = m_reports[call.workspace];
    ++report.calls;
    report.demandedTokens += tokens;
    if (!answered) {
        ++report.failures[Internal::failureName(response)];
        return;
    }
    ++report.answered;
    report.wrong += expected ? 0 : 1;
    report.servedTokens += tokens;
    report.latencies.push_back(latency);
}

}
