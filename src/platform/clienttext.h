#pragma once

#include "batches/batch.h"
#include "platform/clientrequest.h"

#include <optional>
#include <string>
#include <string_view>

namespace Basilbend
{

/// Checks of the texts that clients choose and that become a part of store keys, of records and of requests to endpoints.

/// Maximum length of an id in bytes. Ids are parts of store keys and of message heads.
inline constexpr std::size_t MaxClientIdBytes = 1024;

/// Maximum length of the id of a batch in bytes. A key of the store has at most 200 bytes, and the longest key of a batch adds 26.
inline constexpr std::size_t MaxBatchIdBytes = 174;

/// Whether the text may be an id: valid UTF-8 of 1 to MaxClientIdBytes bytes without control characters, neither beginning nor ending with
/// a space, which HTTP would remove from a field's value.
bool isClientId(std::string_view text);

/// Whether the text may be the id of a batch.
bool isBatchId(std::string_view text);

/// Returns what is wrong with the target, the ids or the host of a request, naming the field; empty if nothing is. Ids that the request
/// does not have are not checked.
std::optional<std::string> invalidTextOf(const RequestMessage &message, const ClientRequest &request);

/// Returns what is wrong with an item's id, path or header fields or with its reward request, naming the field; empty if nothing is. An
/// item with such a text can't be sent to an endpoint.
std::optional<std::string> invalidTextOf(const BatchItem &item);

}
