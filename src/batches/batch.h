#pragma once

#include "base/timestamp.h"
#include "http/httpfields.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Basilbend
{

/// One generation of a batch: a request that runs later.
struct BatchItem {
    std::string id;
    /// Path of the request to the endpoint.
    std::string path;
    HttpFields fields;
    std::string body;
    /// Prompt tokens and the most output tokens together.
    std::uint64_t tokens = 0;
    /// Zero: not known.
    std::uint64_t promptTokens = 0;
    /// Items of a group share their prompt, and the trainer needs all of them.
    std::string group;
    /// The client's estimate of the output tokens; zero: none.
    std::uint64_t lengthHint = 0;
};

/// What a trainer has submitted for one step.
struct BatchSubmission {
    std::string model;
    /// The oldest version of the weights that may generate tokens of this batch; zero: any.
    std::uint64_t minimumVersion = 0;
    /// How many complete groups the trainer waits for; zero: all.
    std::size_t desiredGroups = 0;
    std::vector<BatchItem> items;
};

/// The index entry of a batch in the metadata store.
struct BatchIndex {
    std::string id;
    std::string route;
    std::string host;
    std::string workspace;
    /// Unix time of the first submission.
    std::int64_t submittedAtMs = 0;
    std::size_t itemCount = 0;
    /// How many values hold the submission.
    std::size_t parts = 0;
    bool ended = false;
};

inline bool operator==(const BatchIndex &a, const BatchIndex &b)
{
    return std::tie(a.id, a.route, a.host, a.workspace, a.submittedAtMs, a.itemCount, a.parts, a.ended)
        == std::tie(b.id, b.route, b.host, b.workspace, b.submittedAtMs, b.itemCount, b.parts, b.ended);
}

enum class ItemOutcome {
    Completed,
    /// Given up: the endpoint can never run it, it failed too often, or its time is over.
    Terminated,
};

/// The final result of an item.
struct ItemResult {
    std::string id;
    ItemOutcome outcome = ItemOutcome::Completed;
    std::string text;
    /// All weight versions that generated an event of the text, ascending.
    std::vector<std::uint64_t> versions;
};

inline bool operator==(const ItemResult &a, const ItemResult &b)
{
    return std::tie(a.id, a.outcome, a.text, a.versions) == std::tie(b.id, b.outcome, b.text, b.versions);
}

}
