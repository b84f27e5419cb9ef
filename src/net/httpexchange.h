#pragma once

#include "net/httpserver.h"
#include "net/restinioconfig.h"

namespace Basilbend::Internal
{

/// Creates the responder of a request. The responder holds a reference to the I/O context because the connection uses it.
std::unique_ptr<HttpResponder>
makeResponder(std::shared_ptr<restinio::asio_ns::io_context> io, restinio::request_handle_t request, std::shared_ptr<ConnectionState> connection);

}
