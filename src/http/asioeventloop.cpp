#include "http/asioeventloop.h"

#include "base/systemclock.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <memory>

namespace Basilbend
{

EventLoop asioEventLoop(asio::io_context &io)
{
    EventLoop loop;
    loop.now = systemNow;
    loop.runAfter = [&io](Milliseconds span, std::function<void()> function) {
        if (span.count() <= 0) {
            asio::post(io, std::move(function));
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(io, span);
        timer->async_wait([timer, function = std::move(function)](const asio::error_code &ec) {
            if (!ec) {
                function();
            }
        });
    };
    return loop;
}

}
