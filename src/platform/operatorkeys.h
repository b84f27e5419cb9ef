#pragma once

#include <string>
#include <string_view>

namespace Basilbend
{

/// Kind of the entry at a key below the operator's prefix.
enum class OperatorKeyKind {
    Configuration,
    PublishedVersion,
    RetiringHost,
    ZoneEvacuation,
    Other,
};

/// Prefix of all keys that the operator writes.
std::string operatorPrefix();
std::string endpointPrefix();

OperatorKeyKind operatorKeyKind(std::string_view key);

/// Returns the host named in a key of kind RetiringHost.
std::string hostOfRetireKey(std::string_view key);

/// Returns the availability zone named in a key of kind ZoneEvacuation.
std::string zoneOfEvacuationKey(std::string_view key);

/// Returns the key of the entry that shows the operator the state of a host's retirement.
std::string retireStatusKey(const std::string &host);

}
