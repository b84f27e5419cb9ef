#pragma once

#include <string>
#include <string_view>

namespace Basilbend
{

/// What a key below the operator's prefix holds.
enum class OperatorKeyKind {
    Configuration,
    PublishedVersion,
    RetiringHost,
    Other,
};

/// All that the operator writes.
std::string operatorPrefix();
/// The configuration alone.
std::string configurationPrefix();
std::string endpointPrefix();

OperatorKeyKind operatorKeyKind(std::string_view key);

/// The host named in a key of kind HostToEmpty.
std::string hostOfRetireKey(std::string_view key);

/// The key under which the operator learns that a host is empty.
std::string retireStatusKey(const std::string &host);

}
