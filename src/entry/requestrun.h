#pragma once

#include "attempts/attemptoutcome.h"
#include "entry/runport.h"
#include "net/attemptline.h"
#include "net/httpclient.h"
#include "net/linereader.h"
#include "steps/partialsample.h"

#include <optional>

namespace Basilbend
{

/// Runs one request to its end: chooses endpoints, follows the lines of the attempt, attaches again after a cut, resumes
/// or repeats on another endpoint where that is allowed. Without sockets, threads and clock. Calls come one at a time.
class RequestRun
{
public:
    /// Port and sink must outlive the run.
    RequestRun(RunRequest request, RunPort &port, RunSink &sink);

    void start(Timestamp now);

    // Events of the exchange with this generation; those of earlier ones are ignored.
    void received(std::uint64_t generation, int status, std::string_view data, Timestamp now);
    void exchangeEnded(std::uint64_t generation, const HttpClientResponse &response, Timestamp now);
    void wokenUp(std::uint64_t generation, Timestamp now);

    /// Ends the request from the caller's side; an attempt that runs is cancelled.
    void cancel(Error error, Timestamp now);

    /// Ends the request when its deadline has passed.
    void tick(Timestamp now);

    bool isDone() const;
    const RunRequest &request() const;
    std::uint64_t attempts() const;

private:
    void beginAttempt(Timestamp now);
    void waitForEndpoint(const Error &error, Timestamp now);
    AttemptRequest attemptRequest(Timestamp now) const;
    bool handleLine(std::string_view text, Timestamp now);
    void handleDelta(const AttemptLine &line);
    void passTextOn();
    void handleAnswer(AttemptLine line);
    void handleFinished(const AttemptLine &line, Timestamp now);
    void handleRefusal(const Error &error, Timestamp now);
    void handleCut(Timestamp now);
    void handleUnreachable(Timestamp now);
    void afterFailure(Error error, Timestamp now);
    void endAttempt();
    bool canRepeat() const;
    void fail(Error error);

    RunRequest m_request;
    RunPort &m_port;
    RunSink &m_sink;
    std::uint64_t m_generation = 0;
    std::uint64_t m_attempts = 0;
    std::set<std::string> m_tried;
    ChosenEndpoint m_endpoint;
    AttemptId m_attempt;
    std::string m_attemptText;
    std::optional<AttemptOutcome> m_outcome;
    bool m_attemptOpen = false;
    Timestamp m_attemptStarted;
    LineReader m_lines;
    std::uint64_t m_nextLine = 0;
    int m_reattaches = 0;
    bool m_isReattach = false;
    std::string m_errorBody;
    /// Verified output of earlier attempts, and output so far.
    SampleBody m_prefix;
    PartialSample m_partial;
    std::size_t m_streamedBytes = 0;
    std::string m_unsentText;
    std::uint64_t m_unsentTokens = 0;
    RunResult m_result;
    std::optional<Timestamp> m_waitingSince;
    /// Of all attempts so far.
    Execution m_execution = Execution::NotRun;
    std::optional<Error> m_lastFailure;
    bool m_done = false;
};

}
