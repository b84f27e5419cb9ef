#pragma once

#include "replay/trace.h"

#include <ostream>

namespace Basilbend
{

/// Writes a trace as the JSON lines that TraceReader reads.
void writeTrace(const Trace &trace, std::ostream &out);

}
