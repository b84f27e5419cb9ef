#pragma once

#include "store/store.h"

namespace Basilbend
{

/// What became of an attempt to create a key.
struct CreateOutcome {
    enum class State {
        /// The key holds this value, written by this or an earlier attempt.
        Created,
        /// Another value was there first; nothing was or will be written.
        Taken,
        /// Nothing was written by this attempt; earlier attempts with an unknown outcome stay unknown.
        NotWritten,
        /// The value may still appear: call again with the same value until the outcome is another one.
        Unknown,
    };
    State state = State::Unknown;

    /// The entry that is in the store, for Created and Taken.
    std::optional<StoreEntry> entry;
};

/// Creates a key that must not exist and finds out by reading what happened when the answer is lost. The value must hold
/// the writer's mark (node, incarnation and number of the write), so that no other writer produces the same bytes.
void createOnce(Store &store, const std::string &key, const std::string &value, Milliseconds lease, std::function<void(CreateOutcome)> callback);

}
