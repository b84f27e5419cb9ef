#include "app/platformsettings.h"

#include "config/settingsreader.h"

#include <algorithm>

namespace Basilbend
{

namespace Internal
{

constexpr std::size_t DigestLength = 64;

std::string readUrl(SettingsReader &reader, const std::string &key)
{
    if (!reader.has(key)) {
        reader.textOr(key, {});
        return {};
    }
    const auto text = reader.text(key);
    const auto address = socketAddressFromText(text);
    if (!address) {
        reader.addFault(key, address.error().message);
    }
    return "http://" + text;
}

bool isDigest(const std::string &text)
{
    const auto isHex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == DigestLength && std::all_of(text.begin(), text.end(), isHex);
}

}

Result<Peer> peerFromText(const std::string &text)
{
    const auto first = text.find(',');
    const auto second = text.find(',', first == std::string::npos ? first : first + 1);
    if (second == std::string::npos || first == 0 || !socketAddressFromText(text.substr(second + 1))) {
        return Error{ResultCode::SettingsInvalid, "\"" + text + "\" is not of the form NODE,ZONE,ADDRESS:PORT"};
    }
    return Peer{text.substr(0, first), text.substr(second + 1), text.substr(first + 1, second - first - 1)};
}

PlatformSettings readPlatformSettings(SettingsReader &reader)
{
    PlatformSettings settings;
    settings.storeUrl = Internal::readUrl(reader, "platform.store");
    settings.hostListUrl = Internal::readUrl(reader, "platform.hosts");
    settings.usageReportsUrl = Internal::readUrl(reader, "platform.usage_reports");
    settings.operatorCredentialDigest = reader.textOr("operators.credential_digest", {});
    if (!settings.operatorCredentialDigest.empty() && !Internal::isDigest(settings.operatorCredentialDigest)) {
        reader.addFault("operators.credential_digest", "must be a SHA-256 digest of 64 lower-case hexadecimal digits");
    }
    for (const auto &text : reader.textsOr("peers", {})) {
        const auto peer = peerFromText(text);
        if (peer) {
            settings.peers.push_back(peer.value());
        } else {
            reader.addFault("peers", peer.error().message);
        }
    }
    return settings;
}

}
