#pragma once

#include "base/eventloop.h"

#include <asio/io_context.hpp>

namespace Basilbend
{

/// Creates an event loop that runs its functions on the thread of an I/O context. The context must outlive it.
EventLoop asioEventLoop(asio::io_context &io);

}
