#pragma once

#include "base/result.h"
#include "steps/samplebody.h"
#include "steps/samplecursor.h"
#include "steps/sampleplacement.h"
#include "steps/samplequeue.h"
#include "steps/step.h"
#include "steps/stragglerrule.h"
#include "versions/stalenesspolicy.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Basilbend
{

class LengthEstimator;

namespace Internal
{
struct RunningSample;
struct SampleSlot;
}

/// A sample to start.
struct SampleOrder {
    std::uint32_t index = 0;
    std::uint32_t group = 0;

    /// A second copy of a straggler; to be placed only on spare capacity and on another endpoint than avoidEndpoint.
    bool copy = false;
    std::string avoidEndpoint;

    /// Output to resume from; empty for a fresh start.
    SampleBody prefix;
    std::uint64_t minimumVersion = 0;
};

struct DeliveredSample {
    std::uint32_t index = 0;
    std::uint32_t group = 0;
    SampleBody body;
};

/// The answer to a fetch. The trainer has the samples once it holds the cursor.
struct FetchAnswer {
    std::vector<DeliveredSample> samples;
    SampleCursor cursor;

    /// The cursor covers the whole step.
    bool complete = false;

    /// Deliverable samples that did not fit into this answer.
    std::size_t more = 0;

    /// Why no further sample will be produced, if so: StepExpired or Cancelled.
    std::optional<ResultCode> ended;
};

struct StepProgress {
    std::size_t samples = 0;
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t finished = 0;
    std::size_t delivered = 0;
    std::uint64_t stale = 0;
    std::uint64_t copies = 0;
    std::uint64_t resumed = 0;
    std::uint64_t unmatched = 0;
    std::optional<ResultCode> ended;
};

/// Runs the samples of one step and delivers each once. Delivery is recorded only in the trainer's cursor: a sample in the
/// cursor is never sent, one outside it always can be. The caller places orders on endpoints, feeds back what happens and
/// sends out the effects. A line that belongs to no current attempt of its sample changes nothing.
class StepTracker
{
public:
    /// The estimator must outlive the tracker.
    StepTracker(Step step, LengthEstimator &lengths, Timestamp now);
    ~StepTracker();
    StepTracker(const StepTracker &) = delete;
    StepTracker &operator=(const StepTracker &) = delete;

    const Step &step() const;

    /// Takes over from another entry: samples with a placement are awaited from their sidecars, the rest is run.
    void adopt(const std::vector<SamplePlacement> &placements, Timestamp now);

    /// Attempts taken over whose sidecar has not told yet what it has.
    std::vector<AttemptRef> unattached() const;

    /// The sidecar still runs an attempt that was taken over, with this verified output so far.
    void attached(std::uint32_t index, const AttemptId &attempt, SampleBody verified, Timestamp now);

    /// A newer version was published: drops stale samples and stops those that can't finish in time.
    void versionPublished(std::uint64_t version, Timestamp now);
    std::uint64_t minimumVersion() const;

    /// The next sample to start. A copy of a straggler is offered only when no sample waits and there is spare capacity.
    std::optional<SampleOrder> next(Timestamp now, bool spareCapacity);

    /// The order was sent to an endpoint with this weight version.
    void placed(const SampleOrder &order, const AttemptId &attempt, const std::string &endpoint, std::uint64_t endpointVersion, Timestamp now);

    /// Output of a running attempt, in order. Returns false when the attempt is not a current one of the sample.
    bool progressed(std::uint32_t index, const AttemptId &attempt, std::string_view text, std::uint64_t tokens, std::uint64_t version, bool verified);

    /// Output so far of a running attempt, prefix included; null when it is not a current one.
    const SampleBody *output(std::uint32_t index, const AttemptId &attempt) const;

    /// An attempt ended with this whole body. The first one wins, the others are revoked.
    bool finished(std::uint32_t index, const AttemptId &attempt, SampleBody body, Timestamp now);

    /// An attempt ended without a result. With keepOutput the verified output is resumed from; without, it is discarded.
    bool failed(std::uint32_t index, const AttemptId &attempt, bool keepOutput, Timestamp now);

    /// All attempts running on an endpoint failed.
    void endpointLost(const std::string &endpoint, Timestamp now);

    /// Delivers at most max samples outside the cursor, in order of completion. Fails with CursorInvalid when the cursor is
    /// of another size. A cursor older than an earlier one is valid: what it lacks is run again if it is gone.
    Result<FetchAnswer> fetch(const SampleCursor &cursor, std::size_t max, std::uint64_t trainerVersion, Timestamp now);

    /// The trainer has the samples in the cursor; the answer is as for fetch() without samples.
    Result<void> acknowledge(const SampleCursor &cursor, Timestamp now);

    /// True when a fetch with this cursor should be answered now instead of waiting.
    bool canAnswer(const SampleCursor &cursor, Timestamp now) const;

    void cancel();

    /// Ends the step when its deadline has passed; to be called at least every second.
    void expire(Timestamp now);

    StepProgress progress() const;

    /// What has to be sent to sidecars since the last call.
    StepEffects takeEffects();

    std::vector<SamplePlacement> placements() const;

    /// True when takePlacementChanges() would return something.
    bool hasPlacementChanges() const;

    /// Placements that changed since the last call.
    std::vector<SamplePlacement> takePlacementChanges();

private:
    using Slot = Internal::SampleSlot;
    using Running = Internal::RunningSample;

    const Running *findRunning(std::uint32_t index, const AttemptId &attempt) const;
    Running *findRunning(std::uint32_t index, const AttemptId &attempt);
    std::uint32_t endpointNumber(const std::string &endpoint);
    SamplePlacement placementOf(std::uint32_t index) const;
    void setState(std::uint32_t index, int state);
    void markPlacement(std::uint32_t index);
    void makeWaiting(std::uint32_t index);
    void revokeRunning(std::uint32_t index, const AttemptId *except);
    void dropFinished(std::uint32_t index);
    void dropStale(std::uint32_t index);
    void keepPrefix(Slot &slot, SampleBody verified);
    void cover(std::uint32_t index);
    void uncover(std::uint32_t index);
    Error cursorMismatch() const;
    void applyCursor(const SampleCursor &cursor);
    void stopHopeless(Timestamp now);
    void end(ResultCode code);
    Milliseconds remainingTime(std::uint32_t index, const Running &running, Timestamp now) const;
    SampleOrder orderFor(std::uint32_t index);
    std::optional<SampleOrder> nextCopy(Timestamp now);
    void findStragglers(Timestamp now);

    Step m_step;
    LengthEstimator &m_lengths;
    StalenessPolicy m_staleness;
    SampleQueue m_queue;
    StragglerRule m_stragglers;
    std::vector<Slot> m_slots;
    std::vector<std::uint32_t> m_groupOf;
    std::vector<std::uint64_t> m_promptKeys;
    std::vector<std::string> m_endpoints;
    std::vector<std::uint32_t> m_changedPlacements;
    std::vector<std::pair<std::uint32_t, std::uint64_t>> m_completed;
    std::vector<std::uint32_t> m_copyCandidates;
    std::optional<Timestamp> m_lastCopyScan;
    SampleCursor m_covered;
    StepEffects m_effects;
    std::optional<ResultCode> m_ended;
    /// Samples per state.
    std::array<std::size_t, 4> m_counts{};
    std::uint64_t m_completions = 0;
    std::uint64_t m_stale = 0;
    std::uint64_t m_copies = 0;
    std::uint64_t m_resumed = 0;
    std::uint64_t m_unmatched = 0;
};

}
