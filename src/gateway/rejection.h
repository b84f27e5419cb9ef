#pragma once

#include "base/result.h"
#include "http/httpmessage.h"

#include <string>

namespace Basilbend
{

/// An answer of the system's own: the status, and a JSON body with the numbered code, its name and a sentence.
ResponseMessage makeRejection(int status, const Error &error, const std::string &attemptId);

}
