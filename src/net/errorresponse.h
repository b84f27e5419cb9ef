#pragma once

#include "base/result.h"
#include "net/httpserver.h"

namespace Basilbend
{

/// Returns the HTTP response for a failed request: the status of the result code and a JSON error body.
HttpResponse errorResponse(const Error &error);

}
