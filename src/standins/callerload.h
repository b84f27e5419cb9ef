#pragma once

#include "net/httpclient.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Basilbend
{

/// One request that a caller makes.
struct PlannedCall {
    /// Offset from the start of the load.
    Milliseconds at{0};
    std::string workspace;

    /// Route of a plain service, or empty for a completion.
    std::string route;

    /// Policy of a completion.
    std::string model;
    std::string id;
    std::string prompt;
    std::uint64_t maxTokens = 0;
};

/// What the callers of one workspace saw.
struct CallerReport {
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;

    /// Answers that are not what the endpoint must give for the request.
    std::uint64_t wrong = 0;

    /// Failed calls by the code's name, or "transport" when there was no answer.
    std::map<std::string, std::uint64_t> failures;

    /// Tokens of the whole answers to all calls, and of those that came.
    std::uint64_t demandedTokens = 0;
    std::uint64_t servedTokens = 0;
    std::vector<Milliseconds> latencies;
};

/// Stand-in for callers: makes planned calls at their times over several entries and compares each answer with what the
/// stand-in endpoints must give.
class CallerLoad
{
public:
    /// Keys by workspace. The client must outlive the load.
    CallerLoad(HttpClient &client, std::vector<std::string> entries, std::map<std::string, std::string> keys);

    /// Makes the calls, in the order of their times, and returns when each has an answer or failed.
    void run(const std::vector<PlannedCall> &calls, Milliseconds timeout);

    std::map<std::string, CallerReport> reports() const;

private:
    HttpClientRequest requestFor(const PlannedCall &call, std::size_t number, Milliseconds timeout) const;
    void record(const PlannedCall &call, const HttpClientResponse &response, Milliseconds latency);

    HttpClient &m_client;
    std::vector<std::string> m_entries;
    std::map<std::string, std::string> m_keys;
    mutable std::mutex m_mutex;
    std::map<std::string, CallerReport> m_reports;
};

}
