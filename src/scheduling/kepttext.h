#pragma once

#include "base/result.h"
#include "scheduling/itemtext.h"

#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// Text of an item that another run can go on with: of a batch that has ended and whose items may come again, or of a leader
/// that is gone.
struct KeptText {
    std::string itemId;
    ItemText text;
    bool isComplete = false;
};

std::string encodeKeptTexts(const std::vector<KeptText> &texts);
Result<std::vector<KeptText>> decodeKeptTexts(std::string_view text);

}
