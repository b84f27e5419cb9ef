#pragma once

#include "base/result.h"
#include "scheduling/resumabletext.h"

#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// Progress of one open batch that a leader stores for its successor, in addition to the results.
struct ProgressRecord {
    /// Ids of the items whose results were listed when the record was written, in order of position. A successor need not
    /// read the texts of these results.
    std::vector<std::string> listed;
    /// Texts generated for items that are not decided yet.
    std::vector<ResumableText> texts;
};

std::string encodeProgress(const ProgressRecord &record);
Result<ProgressRecord> decodeProgress(std::string_view text);

}
