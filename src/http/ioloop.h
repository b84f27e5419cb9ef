#pragma once

#include "base/eventloop.h"

#include <asio/io_context.hpp>

namespace Basilbend
{

/// Time and delayed calls on the thread of an I/O context.
EventLoop ioLoop(asio::io_context &io);

}
