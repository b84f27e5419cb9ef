#pragma once

#include "attempts/attempttable.h"
#include "limits/fairqueue.h"
#include "net/attemptline.h"
#include "net/attemptrequest.h"
#include "net/endpointreport.h"
#include "sidecar/attemptlog.h"
#include "sidecar/attemptwriter.h"
#include "sidecar/sidecarsettings.h"
#include "versions/versionstamper.h"

#include <functional>
#include <map>

namespace Basilbend
{

/// A part of an engine's output.
struct EndpointChunk {
    std::string text;
    std::uint64_t tokens = 0;
    std::optional<std::uint64_t> version;
    /// Zero when the engine does not count them.
    std::uint64_t promptTokens = 0;
    /// Not empty on the last chunk.
    std::string finishReason;
};

/// What an attempt used, however it ended.
struct AttemptUsage {
    AttemptId attempt;
    std::string requestId;
    std::string workspace;
    TokenUsage tokens;
    /// Ok when it finished.
    ResultCode end = ResultCode::Ok;
    Timestamp at;
};

/// The decisions of a sidecar, without sockets, threads and clock: which attempt runs when, on which weight version, and
/// what its reader is told. The hooks must not call back.
class SidecarCore
{
public:
    struct Hooks {
        std::function<void(const AttemptRequest &)> startCall;
        /// Ends a call and asks the engine what it produced; usageSettled() must follow exactly once for a call to an engine.
        std::function<void(const AttemptId &)> cancelCall;
        std::function<void(const AttemptId &, const std::string &line, bool isLast)> emit;
        /// Sees each line of an attempt that produces a sample of a step.
        std::function<void(const AttemptRequest &, const AttemptLine &)> observeSample;
        std::function<void()> queryVersion;
        std::function<void(const AttemptUsage &)> reportUsage;
    };

    SidecarCore(const SidecarSettings &settings, std::uint64_t incarnation, Hooks hooks);

    /// Takes an attempt, or attaches to it when it is known. An error is the final answer and leaves nothing behind that
    /// could run.
    Result<void> receive(AttemptRequest request, Timestamp now);

    /// Revokes an attempt; cancel also ends one that runs.
    RevocationAnswer revoke(const AttemptId &id, std::uint64_t addressedIncarnation, bool cancel, Timestamp now);

    /// Whether a reader may attach again. An attempt that never arrived gets a tombstone.
    Result<void> attach(const AttemptId &id, std::uint64_t addressedIncarnation, Timestamp now);

    void chunk(const AttemptId &id, const EndpointChunk &chunk, Timestamp now);
    void answer(const AttemptId &id, int status, HttpHeaders headers, std::string body, Timestamp now);
    void callFailed(const AttemptId &id, const Error &error, Timestamp now);

    /// The engine told how many tokens a cancelled call produced, or could not be asked. It may have produced more than arrived.
    void usageSettled(const AttemptId &id, std::optional<std::uint64_t> producedTokens);

    std::uint64_t beginVersionQuery();
    void versionAnswered(std::uint64_t query, std::uint64_t version, bool loading, Timestamp now);
    void engineLost(Timestamp now);
    Result<void> beginSwap(std::uint64_t version);
    void swapFailed();

    /// Deadlines, preemption, silence of the engine, and records past their lifetime; every 100 ms or so.
    void tick(Timestamp now);

    /// Ends a live attempt that no entry reads any more.
    void abandon(const AttemptId &id, Timestamp now);

    void setShare(const std::string &workspace, double share);
    void setLeaving();

    std::uint64_t incarnation() const;

    /// True when nothing waits or runs and all usage is reported.
    bool isIdle() const;
    EndpointReport load() const;
    AttemptLog &log();

private:
    struct Attempt {
        AttemptRequest request;
        Timestamp deadline;
        Timestamp lastOutput;
        AttemptWriter writer;
        TokenUsage usage;
        std::string finishReason;
        bool running = false;
        /// The call was cut or cancelled, so what the engine produced is not known yet.
        bool unsettled = false;
        /// The output ended and the versions wait for a confirmation.
        bool inDoubt = false;
    };

    Result<void> accept(const AttemptRequest &request, Timestamp now);
    void pump(Timestamp now);
    void startAttempt(const AttemptId &id, Timestamp now);
    void finishAttempt(const AttemptId &id, const VersionList &versions, Timestamp now);
    void refuse(const AttemptId &id, Error error, Timestamp now);
    void cancelRunning(const AttemptId &id, const Error &error, Timestamp now);
    AttemptWriter::LineSink sinkFor(const AttemptId &id);
    void cancelCall(const AttemptId &id, Attempt &attempt);
    void emitLine(Attempt &attempt, AttemptLine line);
    void endAttempt(const AttemptId &id, ResultCode end, Timestamp now);
    void endSilentCalls(Timestamp now);

    SidecarSettings m_settings;
    std::uint64_t m_incarnation;
    Hooks m_hooks;
    AttemptTable m_table;
    FairQueue m_queue;
    VersionStamper m_stamper;
    AttemptLog m_log;
    std::map<AttemptId, Attempt> m_attempts;
    std::map<AttemptId, AttemptUsage> m_unsettled;
    bool m_leaving = false;
    bool m_pumping = false;
};

}
