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

/// A request to a service that scores the finished text of an item. It is idempotent.
struct RewardRequest {
    /// Identifies the request at the endpoint, like an attempt id.
    std::string id;
    /// Host and path of the request; they select the route.
    std::string host;
    std::string path;
    std::string body;
};

inline bool operator==(const RewardRequest &a, const RewardRequest &b)
{
    return std::tie(a.id, a.host, a.path, a.body) == std::tie(b.id, b.host, b.path, b.body);
}

/// One generation request of a batch; it is queued and run by a scheduler.
struct BatchItem {
    std::string id;
    /// Path of the request to the endpoint.
    std::string path;
    HttpFields fields;
    std::string body;
    /// Prompt tokens plus the maximum number of output tokens.
    std::uint64_t tokens = 0;
    /// Number of prompt tokens; zero when unknown.
    std::uint64_t promptTokens = 0;
    /// Name of the item's group. Items of a group share their prompt, and the trainer needs all of them.
    std::string group;
    /// The client's estimate of the number of output tokens; zero when there is none.
    std::uint64_t lengthHint = 0;
    /// How the text is scored; without it the item is complete once its text is.
    std::optional<RewardRequest> reward;
};

/// The batch of one training step, as submitted by a trainer.
struct BatchSubmission {
    std::string model;
    /// Oldest weight version that may generate tokens of this batch; zero allows any.
    std::uint64_t minimumVersion = 0;
    /// Number of complete groups that the trainer waits for; zero means all.
    std::size_t desiredGroups = 0;
    std::vector<BatchItem> items;
};

/// The index entry of a batch in the metadata store.
struct BatchIndex {
    std::string id;
    /// Name of the route by which the batch was submitted.
    std::string route;
    std::string host;
    std::string workspace;
    /// Unix time of the first submission, in ms.
    std::int64_t submittedAtMs = 0;
    std::size_t itemCount = 0;
    /// Number of values in the store that hold the submission.
    std::size_t parts = 0;
    bool ended = false;
    /// Size of the submission in bytes; zero if an earlier release has accepted the batch.
    std::size_t bytes = 0;
};

inline bool operator==(const BatchIndex &a, const BatchIndex &b)
{
    return std::tie(a.id, a.route, a.host, a.workspace, a.submittedAtMs, a.itemCount, a.parts, a.ended, a.bytes)
        == std::tie(b.id, b.route, b.host, b.workspace, b.submittedAtMs, b.itemCount, b.parts, b.ended, b.bytes);
}

enum class ItemOutcome {
    Completed,
    /// Abandoned: no endpoint can run the item, it failed too often, or its deadline has passed.
    Terminated,
};

/// The final result of an item.
struct ItemResult {
    std::string id;
    ItemOutcome outcome = ItemOutcome::Completed;
    std::string text;
    /// All weight versions that generated events of the text, in ascending order.
    std::vector<std::uint64_t> versions;
    /// Signature of the endpoint that scored the text; empty when the item has no reward request or was abandoned.
    std::string score;
};

inline bool operator==(const ItemResult &a, const ItemResult &b)
{
    return std::tie(a.id, a.outcome, a.text, a.versions, a.score) == std::tie(b.id, b.outcome, b.text, b.versions, b.score);
}

}
