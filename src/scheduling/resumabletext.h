#pragma once

#include "forwarding/requestfingerprint.h"
#include "scheduling/itemtext.h"

#include <optional>
#include <string>

namespace Basilbend
{

/// Text of an item that another run can continue: from an ended batch whose items may be submitted again, or from an
/// earlier leader.
struct ResumableText {
    std::string itemId;
    ItemText text;
    bool isComplete = false;
    /// What the text was generated from, see promptOf(). Empty: an earlier leader has stored the text for the same batch.
    std::optional<RequestFingerprint> prompt = std::nullopt;
};

}
