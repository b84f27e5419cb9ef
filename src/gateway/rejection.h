#pragma once

#include "base/result.h"
#include "http/httpmessage.h"

#include <string>

namespace Basilbend
{

/// Creates the response to a request that the system rejects. The JSON body holds the number and the name of the result code and
/// a message.
ResponseMessage makeRejection(int status, const Error &error, const std::string &attemptId);

}
