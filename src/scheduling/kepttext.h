#pragma once

#include "scheduling/itemtext.h"

#include <string>

namespace Basilbend
{

/// Text of an item that another run can go on with: of a batch that has ended and whose items may come again, or of a leader
/// that is gone.
struct KeptText {
    std::string itemId;
    ItemText text;
    bool isComplete = false;
};

}
