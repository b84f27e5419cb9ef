#pragma once

#include "control/controlloop.h"
#include "entry/runrequest.h"
#include "entry/stephooks.h"
#include "entry/stepservice.h"

#include <functional>
#include <memory>
#include <string>

namespace Basilbend
{

/// Tells the step service, on the control thread, what happens to one attempt of a sample.
class SampleSink : public RunSink
{
public:
    /// What is known when the run was started; filled in before EntryHub::run() returns.
    struct Start {
        std::optional<StartedSample> sent;
    };
    using EndCallback = std::function<void(const AttemptId &, std::uint64_t tokens, std::optional<ResultCode> error)>;

    /// The loop and the service must outlive the run. ended runs on the control thread.
    SampleSink(
        ControlLoop &loop, StepService &service, NowFunction now, std::string step, std::uint32_t index, std::shared_ptr<Start> start, EndCallback ended);

    bool isStreaming() const override;
    void attemptSent(const AttemptId &attempt, const std::string &endpoint, std::uint64_t version) override;
    void received(std::string_view text, std::uint64_t tokens, std::uint64_t version) override;
    void text(std::string_view text, std::uint64_t tokens) override;
    void finished(const RunResult &result) override;
    void failed(const Error &error) override;

private:
    ControlLoop &m_loop;
    StepService &m_service;
    NowFunction m_now;
    std::string m_step;
    std::uint32_t m_index;
    std::shared_ptr<Start> m_start;
    EndCallback m_ended;
    AttemptId m_attempt;
};

}
