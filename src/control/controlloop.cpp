#include "control/controlloop.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <future>
#include <thread>

namespace Basilbend
{

class ControlLoop::Private
{
public:
    explicit Private(NowFunction now)
        : m_now(std::move(now))
    {
    }

    void postAfter(Milliseconds delay, std::function<void()> task)
    {
        auto timer = std::make_unique<asio::steady_timer>(m_io, delay);
        auto *waiting = timer.get();
        waiting->async_wait([timer = std::move(timer), task = std::move(task)](const std::error_code &ec) {
            if (!ec) {
                task();
            }
        });
    }

    void runController(Milliseconds period, ControllerFunction controller)
    {
        controller(m_blackboard, m_now());
        postAfter(period, [this, period, controller = std::move(controller)]() mutable { runController(period, std::move(controller)); });
    }

    NowFunction m_now;
    Blackboard m_blackboard;
    asio::io_context m_io{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work = asio::make_work_guard(m_io);
    std::thread m_thread;
};

ControlLoop::ControlLoop(NowFunction now)
    : m_d(std::make_unique<Private>(std::move(now)))
{
}

ControlLoop::~ControlLoop()
{
    stop();
}

Blackboard &ControlLoop::blackboard()
{
    return m_d->m_blackboard;
}

void ControlLoop::addController(Milliseconds period, ControllerFunction controller)
{
    post([this, period, controller = std::move(controller)]() mutable { m_d->runController(period, std::move(controller)); });
}

void ControlLoop::post(std::function<void()> task)
{
    asio::post(m_d->m_io, std::move(task));
}

void ControlLoop::postAfter(Milliseconds delay, std::function<void()> task)
{
    post([this, delay, task = std::move(task)]() mutable { m_d->postAfter(delay, std::move(task)); });
}

void ControlLoop::postAndWait(const std::function<void()> &task)
{
    std::promise<void> done;
    post([&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

void ControlLoop::start()
{
    m_d->m_thread = std::thread([d = m_d.get()] { d->m_io.run(); });
}

void ControlLoop::stop()
{
    m_d->m_io.stop();
    if (m_d->m_thread.joinable()) {
        m_d->m_thread.join();
    }
}

}
