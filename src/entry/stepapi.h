#pragma once

#include "entry/callerapi.h"
#include "entry/entryservice.h"
#include "entry/stepservice.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Basilbend
{

/// Another entry, as a holder of steps.
struct StepPeer {
    std::string node;
    std::string zone;
    /// "address:port" for messages between our processes.
    std::string address;
};

/// The steps API of an entry: connects StepService to the callers' API, to sidecars and to other entries. Must be made before
/// EntryService::start() and outlive the service's stop().
class StepApi
{
public:
    StepApi(EntryService &service, const EntrySettings &settings, NowFunction now, StepServiceSettings steps = {});
    ~StepApi();
    StepApi(const StepApi &) = delete;
    StepApi &operator=(const StepApi &) = delete;

    /// The other entries. Only they are asked about a step, whatever its id names. Any thread.
    void setPeers(std::vector<StepPeer> peers);

    /// Limits on generated tokens, as for other requests; before start() only.
    void setAdmission(AdmissionHooks hooks);

    /// A version is known to be published, besides those that endpoints report. Any thread.
    void versionPublished(const std::string &model, std::uint64_t version);

    /// Starts the handover of all steps at shutdown. Any thread.
    void handOver();

    /// True when this entry runs no step. Any thread.
    bool isIdle() const;

private:
    /// What is known of the endpoints of a model, refreshed by each tick.
    struct ModelLoad {
        std::size_t capacity = 0;
        std::size_t busy = 0;
        std::uint64_t newest = 0;
    };
    using Responder = std::shared_ptr<HttpResponder>;

    StepHooks hooks();
    std::optional<StartedSample> start(const Step &step, const SampleOrder &order);
    RunRequest runRequest(const Step &step, const SampleOrder &order, std::uint64_t allowedVersion) const;
    void sampleEnded(const std::string &model,
                     const std::string &workspace,
                     std::uint64_t expected,
                     const AttemptId &attempt,
                     std::uint64_t tokens,
                     std::optional<ResultCode> error);
    void revoke(const AttemptRef &ref);
    void release(const std::string &step, const std::string &endpoint, const std::vector<AttemptRef> &refs);
    void attach(const std::string &step, const std::string &endpoint, const std::vector<AttemptRef> &refs);
    void sendToPeer(const std::string &node, HttpClientRequest request, const StepAnswer &answer);
    std::vector<std::string> chooseHolders(const std::string &unique, std::size_t count) const;
    std::optional<EndpointReport> endpoint(const std::string &node) const;

    void handleCaller(const HttpRequest &request, std::unique_ptr<HttpResponder> responder);
    void openStep(const HttpRequest &request, const Caller &caller, const Responder &responder);
    void callStep(const HttpRequest &request, const Caller &caller, const Responder &responder);
    void handleInternal(const HttpRequest &request, std::unique_ptr<HttpResponder> responder);
    StepAnswer answerTo(const Responder &responder, std::string keyDigest, int status) const;
    void tick(Timestamp now);

    EntryService &m_entry;
    std::string m_zone;
    NowFunction m_now;
    AdmissionHooks m_admission;
    StepService m_steps;
    std::map<AttemptId, std::uint64_t> m_runs;
    std::map<std::string, std::size_t> m_runningPerModel;
    std::map<std::string, ModelLoad> m_loads;
    std::map<std::string, Timestamp> m_pausedUntil;
    std::atomic<bool> m_idle{true};
    mutable std::mutex m_mutex;
    std::vector<StepPeer> m_peers;
    std::map<std::string, std::uint64_t> m_published;
};

}
