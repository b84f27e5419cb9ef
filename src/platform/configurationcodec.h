#pragma once

#include "base/result.h"
#include "catalog/endpointrecord.h"
#include "catalog/serviceconfiguration.h"

#include <string>
#include <string_view>

namespace Basilbend
{

/// Decodes the operator's configuration. Fails with MalformedRequest and the name of the first invalid field.
Result<ServiceConfiguration> decodeConfiguration(std::string_view text);

/// Version of a model's weights published by a trainer.
struct PublishedVersion {
    std::string model;
    std::uint64_t version = 0;
};

Result<PublishedVersion> decodePublishedVersion(std::string_view text);

/// Decodes an endpoint's entry in the registry. The endpoint's id is the last part of the key. Entries of other writers may lack
/// fields or hold other types; they fail with MalformedRequest.
Result<EndpointRecord> decodeEndpointRecord(std::string_view key, std::string_view text);

/// Returns the endpoint's id in a registry key.
std::string endpointIdOfKey(std::string_view key);

/// Encodes the state of a host's retirement that the operator reads.
std::string encodeRetireStatus(bool completed);

}
