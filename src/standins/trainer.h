#pragma once

#include "base/result.h"
#include "net/httpclient.h"
#include "standins/trainerledger.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Basilbend
{

/// How a trainer works.
struct TrainerSettings {
    /// Base URLs of entries; the next one is taken when one does not answer.
    std::vector<std::string> entries;
    std::string key;
    std::size_t fetchMax = 64;
    Milliseconds fetchWait{500};

    /// Time that the trainer spends on each sample.
    Milliseconds workPerSample{0};
};

/// Stand-in for a trainer: opens a step, fetches its samples with a cursor, reconnects, and checks what it gets. All calls
/// block; one step at a time.
class Trainer
{
public:
    /// Called after each answer with the number of samples delivered so far.
    using ProgressFunction = std::function<void(std::uint64_t delivered)>;

    /// The client must outlive the trainer. Samples are expected with the seeds that entries give them.
    Trainer(HttpClient &client, TrainerSettings settings, NowFunction now);

    /// The newest weights that were published; may be called from any thread.
    void setPublished(std::uint64_t version);

    /// Runs a step until it is complete, it has ended, or the span of its deadline is over. Fails only when the step can't
    /// be opened; samples that did not come are in the report.
    Result<TrainerReport> runStep(Step step, Milliseconds deadline, const ProgressFunction &progress);

private:
    HttpClientResponse call(const std::string &method, const std::string &target, const std::string &body, Milliseconds timeout);
    HttpClientResponse callAnyEntry(const std::string &method, const std::string &target, const std::string &body, Timestamp until);
    Result<std::string> open(const Step &step, Milliseconds deadline, Timestamp until);

    /// Takes one answer in; returns true when the step is over.
    bool take(const std::string &body, std::uint64_t trainerVersion, TrainerLedger &ledger, std::string &cursor);

    HttpClient &m_client;
    TrainerSettings m_settings;
    NowFunction m_now;
    std::atomic<std::uint64_t> m_published{1};
    std::size_t m_entry = 0;
    std::uint64_t m_failedCalls = 0;
};

}
