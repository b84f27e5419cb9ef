#include "platform/operatorkeys.h"

#include "platform/wirenames.h"

namespace Basilbend
{

namespace
{

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

}

std::string operatorPrefix()
{
    return Wire::OperatorPrefix;
}

std::string endpointPrefix()
{
    return Wire::EndpointPrefix;
}

OperatorKeyKind operatorKeyKind(std::string_view key)
{
    if (key == Wire::ConfigurationKey) {
        return OperatorKeyKind::Configuration;
    }
    if (startsWith(key, Wire::VersionPrefix)) {
        return OperatorKeyKind::PublishedVersion;
    }
    if (startsWith(key, Wire::EvacuationPrefix)) {
        return OperatorKeyKind::ZoneEvacuation;
    }
    return startsWith(key, Wire::RetirePrefix) ? OperatorKeyKind::RetiringHost : OperatorKeyKind::Other;
}

std::string hostOfRetireKey(std::string_view key)
{
    return std::string(key.substr(std::string_view(Wire::RetirePrefix).size()));
}

std::string zoneOfEvacuationKey(std::string_view key)
{
    return std::string(key.substr(std::string_view(Wire::EvacuationPrefix).size()));
}

std::string retireStatusKey(const std::string &host)
{
    return Wire::RetireStatusPrefix + host;
}

}
