#pragma once

#include "control/blackboard.h"

#include <functional>
#include <memory>

namespace Basilbend
{

/// One step of a subsystem's control work: it reads and changes the blackboard and never blocks.
using ControllerFunction = std::function<void(Blackboard &, Timestamp)>;

/// The control thread of a process. Controllers, posted tasks and timers run on it one at a time.
class ControlLoop
{
public:
    explicit ControlLoop(NowFunction now);
    ~ControlLoop();
    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;

    /// Use it on the control thread, or before start().
    Blackboard &blackboard();

    /// Runs the controller once at the start and then every period, for as long as the loop runs. Any thread.
    void addController(Milliseconds period, ControllerFunction controller);

    /// Runs the task soon. Any thread; tasks of one thread keep their order.
    void post(std::function<void()> task);

    /// Runs the task after the delay unless the loop stopped. Any thread.
    void postAfter(Milliseconds delay, std::function<void()> task);

    /// Posts the task and waits for its end; not on the control thread.
    void postAndWait(const std::function<void()> &task);

    void start();

    /// Ends the thread; tasks that did not run are dropped.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
