#pragma once

#include "base/result.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// An IP address and a port, for example "10.0.0.5:8080" or "[::1]:8080".
struct SocketAddress {
    std::string address;
    std::uint16_t port = 0;
};

/// Fails with ValueOutOfRange when the text is not an IP address with a port from 0 to 65535.
Result<SocketAddress> socketAddressFromText(const std::string &text);

/// Strict reader for a YAML settings file. Keys are dotted paths ("limits.max_body"). For an invalid value a read returns the
/// fallback and records a fault. finish() fails with SettingsInvalid and one line per fault: file, line, key, allowed values.
class SettingsReader
{
public:
    /// The file name is used only in error messages.
    SettingsReader(const std::string &text, std::string fileName);
    ~SettingsReader();
    SettingsReader(const SettingsReader &) = delete;
    SettingsReader &operator=(const SettingsReader &) = delete;

    bool has(const std::string &key) const;

    /// Returns the value of a key that must be present; its absence is a fault.
    std::string text(const std::string &key);
    std::string textOr(const std::string &key, const std::string &fallback);
    std::string oneOf(const std::string &key, const std::vector<std::string> &allowed, const std::string &fallback);
    std::vector<std::string> textsOr(const std::string &key, std::vector<std::string> fallback);

    /// Reads a table of strings.
    std::map<std::string, std::string> textMapOr(const std::string &key, std::map<std::string, std::string> fallback);

    /// Reads a whole number.
    std::uint64_t numberOr(const std::string &key, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum);

    /// Reads a number that may have a fraction.
    double decimalOr(const std::string &key, double fallback, double minimum, double maximum);
    bool flagOr(const std::string &key, bool fallback);

    /// Reads a duration with the unit ms, s, min or h, for example "250 ms".
    Milliseconds durationOr(const std::string &key, Milliseconds fallback, Milliseconds minimum, Milliseconds maximum);

    /// Reads a size with the unit B, KB or MB (powers of 1024), for example "4 MB".
    std::uint64_t bytesOr(const std::string &key, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum);

    /// Returns the address of a key that must be present; its absence is a fault.
    SocketAddress address(const std::string &key);
    SocketAddress addressOr(const std::string &key, const SocketAddress &fallback);

    /// Records a fault that the caller found in the value of a key.
    void addFault(const std::string &key, const std::string &message);

    /// Fails when a fault was recorded or the file has a key that no call has read.
    Result<void> finish();

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
