#pragma once

#include "spread/freshnessmonitor.h"

#include <string_view>

namespace Basilbend
{

/// Edits that follow each other: the first leads to revision first, the next to first + 1, and so on.
struct EditRun {
    std::uint64_t first = 0;
    std::vector<std::string> texts;
};

/// POST /internal/heartbeat. With edits it is a push.
struct HeartbeatRequest {
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;
    EditRun edits;

    std::string toJson() const;
    /// Returns nothing when the text is malformed; fields of other subsystems are ignored.
    static std::optional<HeartbeatRequest> fromJson(std::string_view text);
};

struct HeartbeatResponse {
    std::uint64_t revision = 0;

    /// What the requester lacks: edits, or a snapshot when edits that far back are not kept. Long runs are cut.
    EditRun edits;
    std::string snapshot;
    std::vector<FreshnessStamp> stamps;

    std::string toJson() const;
    static std::optional<HeartbeatResponse> fromJson(std::string_view text);
};

}
