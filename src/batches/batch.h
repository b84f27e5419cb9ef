#pragma once

#include "base/timestamp.h"
#include "http/httpfields.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Basilbend
{

/// The request that has the finished text of an item scored by a service. It may be repeated.
struct RewardRequest {
    /// Names the request at the endpoint, as an attempt id does.
    std::string id;
    /// Host and path select the route.
    std::string host;
    std::string path;
    std::string body;
};

inline bool operator==(const RewardRequest &a, const RewardRequest &b)
{
    return std::tie(a.id, a.host, a.path, a.body) == std::tie(b.id, b.host, b.path, b.body);
}

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
    /// Nothing: the item is done with its text.
    std::optional<RewardRequest> reward;
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
    /// The signature of the endpoint that scored the text; empty when the item has no reward request or was given up.
    std::string score;
};

inline bool operator==(const ItemResult &a, const ItemResult &b)
{
    return std::tie(a.id, a.outcome, a.text, a.versions, a.score) == std::tie(b.id, b.outcome, b.text, b.versions, b.score);
}

}
