#pragma once

#include "scheduling/itemtext.h"

#include <string>

namespace Basilbend
{

/// Text of an item that another run can continue: from an ended batch whose items may be submitted again, or from an
/// earlier leader.
struct ResumableText {
    std::string itemId;
    ItemText text;
    bool isComplete = false;
};

}
