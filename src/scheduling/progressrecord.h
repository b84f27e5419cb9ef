#pragma once

#include "base/result.h"
#include "scheduling/kepttext.h"

#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// What a leader leaves for its successor of one open batch, beside the results themselves.
struct ProgressRecord {
    /// Items of the results that were listed when the record was written, in order of position. A successor need not read
    /// the texts of these results.
    std::vector<std::string> listed;
    /// What items that are not done have generated.
    std::vector<KeptText> texts;
};

std::string encodeProgress(const ProgressRecord &record);
Result<ProgressRecord> decodeProgress(std::string_view text);

}
