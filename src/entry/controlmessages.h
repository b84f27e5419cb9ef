#pragma once

#include "config/configurationstate.h"
#include "leadership/leadership.h"
#include "net/httpclient.h"
#include "spread/configurationspreader.h"

namespace Basilbend
{

std::string toJson(const ReleaseRequest &request);
std::string toJson(const ReleaseAnswer &answer);
/// These return nothing when the text is malformed.
std::optional<ReleaseRequest> releaseRequestFromJson(std::string_view text);
std::optional<ReleaseAnswer> releaseAnswerFromJson(std::string_view text);
std::optional<std::vector<std::string>> hostAddressesFromJson(std::string_view text);

/// What the answer to a release request proves.
ProbeResult probeResult(const HttpClientResponse &response);

/// The configuration as the document that is spread.
SpreadDocument spreadDocument(ConfigurationState &state);

}
