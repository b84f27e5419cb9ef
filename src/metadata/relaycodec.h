#pragma once

#include "base/result.h"
#include "metadata/metadatastore.h"

#include <string>
#include <string_view>

namespace Basilbend
{

/// Calls of a MetadataStore that can be relayed by another process.
enum class RelayedCallKind {
    Get,
    List,
    Watch,
    Commit,
    CreateLease,
    RenewLease,
    EndLease,
};

/// One call, with the fields that its kind uses.
struct RelayedCall {
    RelayedCallKind kind = RelayedCallKind::Get;
    /// A key or a prefix.
    std::string key;
    std::string afterKey;
    std::uint64_t number = 0;
    Milliseconds span{0};
    MetadataChange change;
};

std::string encodeRelayedCall(const RelayedCall &call);
Result<RelayedCall> decodeRelayedCall(std::string_view text);

std::string encodeRelayedReply(const MetadataReply &reply);
Result<MetadataReply> decodeRelayedReply(std::string_view text);

/// Runs a call on a store.
void runRelayedCall(MetadataStore &store, const RelayedCall &call, MetadataStore::Callback callback);

}
