#pragma once

#include "base/random.h"
#include "entry/stephooks.h"
#include "steps/lengthestimator.h"
#include "steps/stepcopy.h"
#include "steps/steptracker.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

struct StepServiceSettings {
    /// Entries that keep a copy besides the owner.
    std::size_t copies = 2;
    std::size_t maxSteps = 256;

    /// Placement changes are sent at most this often; a takeover runs again what was placed since.
    Milliseconds copyPeriod{200};

    /// How often a sidecar is asked about attempts that were taken over.
    Milliseconds attachPeriod{500};

    /// Attempts named in one such question; bounds the answer, which carries their bodies.
    std::size_t attachBatch = 64;

    /// How long an ended step still answers.
    Milliseconds endedLifetime{60000};
    Milliseconds maxWait{30000};
    std::size_t maxSamplesPerFetch = 1024;
};

/// What a sidecar has of an attempt that was asked for.
struct AttachedSample {
    enum class State {
        Running,
        Finished,
        /// Not there, and it won't come.
        Gone,
    };

    std::uint32_t index = 0;
    AttemptId attempt;
    State state = State::Gone;

    /// The whole output when finished; the verified output so far when running.
    SampleBody body;
};

/// The steps of one entry: those it runs and the copies that it holds for others. It serves a call for any step, here or
/// by passing it on, and takes a step over when its owner can't be reached. Two entries that run one step cost duplicate
/// runs, never a duplicate delivery. Has no I/O; runs on one thread.
class StepService
{
public:
    StepService(std::string node, StepHooks hooks, Random random, StepServiceSettings settings = {});
    ~StepService();
    StepService(const StepService &) = delete;
    StepService &operator=(const StepService &) = delete;

    /// Opens a step with the body of POST /v1/steps. Answers when each holder has a copy or could not be reached.
    /// mayUse says whether the workspace may use a model.
    void open(const std::string &workspace, const std::string &body, const std::function<Result<void>(const Step &)> &mayUse, Timestamp now, StepAnswer answer);

    /// Serves a call; a fetch with a wait is answered later when nothing is there yet.
    void serve(const StepCall &call, Timestamp now, const StepAnswer &answer);

    /// A copy from another entry, as sent by its StepHooks::sendCopy; returns the reply.
    Result<nlohmann::json> receiveCopy(const std::string &step, const std::string &body, Timestamp now);

    /// What happened to an attempt that StepHooks::start or a takeover named.
    bool sampleProgressed(const std::string &step,
                          std::uint32_t index,
                          const AttemptId &attempt,
                          std::string_view text,
                          std::uint64_t tokens,
                          std::uint64_t version,
                          bool verified);
    /// The attempt ended well with this whole output, which must be what sampleProgressed() told.
    void sampleFinished(const std::string &step, std::uint32_t index, const AttemptId &attempt, SampleBody body, Timestamp now);
    void sampleFailed(const std::string &step, std::uint32_t index, const AttemptId &attempt, bool keepOutput, Timestamp now);

    /// A sidecar's answer to StepHooks::attach, or nothing when it could not be reached.
    void attachAnswered(const std::string &step, const std::string &endpoint, const std::optional<std::vector<AttachedSample>> &samples, Timestamp now);

    /// An endpoint is gone.
    void endpointLost(const std::string &endpoint, Timestamp now);

    /// To be called every 50 ms or so: starts samples, sends copies, answers waiting fetches, ends steps.
    void tick(Timestamp now);

    /// Graceful shutdown: refuses new steps, answers waiting fetches with what there is and hands every step to a holder.
    void handOver(Timestamp now);

    /// Steps that this entry runs.
    std::size_t stepCount() const;
    std::size_t copyCount() const;
    std::uint64_t takeovers() const;

private:
    struct Work;
    struct Held;

    Work *find(const std::string &step);
    void start(Work &work, Timestamp now);
    void settle(Work &work, Timestamp now);
    void sendEffects(Work &work);
    void answerWaiters(Work &work, Timestamp now);
    Result<nlohmann::json> serveHere(Work &work, const StepCall &call, Timestamp now, bool &mustWait);
    void serveOrWait(Work &work, const StepCall &call, Timestamp now, const StepAnswer &answer);
    void serveAsHolder(const StepCall &call, Timestamp now, const StepAnswer &answer);
    void serveByHolders(const StepCall &call, std::vector<std::string> holders, bool allGone, const StepAnswer &answer);
    void replicate(Work &work, Timestamp now);
    void sendCopy(Work &work, const std::string &holder, const nlohmann::json &copy);
    void copyAnswered(const std::string &step, const std::string &holder, const Result<nlohmann::json> &reply);
    nlohmann::json copyOf(const Work &work, const std::vector<SamplePlacement> *changes, Timestamp now) const;
    Work &takeOver(const std::string &step, Timestamp now);
    void becomeHolder(const std::string &step, const std::string &owner, std::uint64_t epoch);
    void handOverTo(const std::string &step, std::vector<std::string> holders);
    void pollAdopted(Work &work, Timestamp now);
    bool outranks(std::uint64_t epoch, const std::string &owner, const Work &work) const;

    std::string m_node;
    StepHooks m_hooks;
    Random m_random;
    StepServiceSettings m_settings;
    LengthEstimator m_lengths;
    std::map<std::string, std::unique_ptr<Work>> m_works;
    std::map<std::string, std::unique_ptr<Held>> m_held;
    /// The time of the last call or tick, for answers that come from other entries.
    Timestamp m_now;
    bool m_draining = false;
    std::uint64_t m_takeovers = 0;
};

}
