#include "config/settingsreader.h"

#include <algorithm>
#include <asio/ip/address.hpp>
#include <charconv>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <yaml-cpp/yaml.h>

namespace Basilbend
{

namespace Internal
{

struct Unit {
    std::string_view name;
    std::uint64_t factor;
};

constexpr Unit TimeUnits[] = {{"ms", 1}, {"s", 1000}, {"min", 60'000}, {"h", 3'600'000}};
constexpr Unit ByteUnits[] = {{"B", 1}, {"KB", 1024}, {"MB", 1024 * 1024}};

std::optional<std::uint64_t> parseWholeNumber(std::string_view text)
{
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (text.empty() || ec != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return n;
}

template <std::size_t N>
std::optional<std::uint64_t> parseWithUnit(std::string_view text, const Unit (&units)[N])
{
    const auto digits = std::min(text.find_first_not_of("0123456789"), text.size());
    const auto n = parseWholeNumber(text.substr(0, digits));
    const auto unitStart = std::min(text.find_first_not_of(' ', digits), text.size());
    const auto name = text.substr(unitStart);
    const auto *it = std::find_if(std::begin(units), std::end(units), [name](const Unit &unit) { return unit.name == name; });
    if (!n || it == std::end(units) || *n > UINT64_MAX / it->factor) {
        return std::nullopt;
    }
    return *n * it->factor;
}

template <std::size_t N>
std::string formatWithUnit(std::uint64_t value, const Unit (&units)[N])
{
    const auto *best = &units[0];
    for (const auto &unit : units) {
        if (value != 0 && value % unit.factor == 0) {
            best = &unit;
        }
    }
    return std::to_string(value / best->factor) + " " + std::string(best->name);
}

}

class SettingsReader::Private
{
public:
    struct Setting {
        YAML::Node node;
        int line = 0;
        bool isKnown = false;
    };

    void collect(const YAML::Node &node, const std::string &prefix)
    {
        for (const auto &pair : node) {
            const auto key = prefix.empty() ? pair.first.Scalar() : prefix + "." + pair.first.Scalar();
            const auto line = pair.first.Mark().line + 1;
            if (pair.second.IsMap()) {
                collect(pair.second, key);
            } else if (!settings.emplace(key, Setting{pair.second, line}).second) {
                recordFault(line, key, "appears twice");
            }
        }
    }

    void recordFault(int line, const std::string &key, const std::string &message)
    {
        faults.emplace(line, fileName + ":" + std::to_string(line) + ": " + key + ": " + message);
    }

    Setting *find(const std::string &key)
    {
        knownKeys.insert(key);
        const auto it = settings.find(key);
        if (it == settings.end()) {
            return nullptr;
        }
        it->second.isKnown = true;
        return &it->second;
    }

    std::optional<std::string> scalar(const std::string &key, const std::string &expected)
    {
        auto *setting = find(key);
        if (!setting) {
            return std::nullopt;
        }
        if (!setting->node.IsScalar()) {
            recordFault(setting->line, key, "must be " + expected);
            return std::nullopt;
        }
        return setting->node.Scalar();
    }

    void addValueFault(const std::string &key, const std::string &expected)
    {
        recordFault(settings[key].line, key, "\"" + settings[key].node.Scalar() + "\" is not allowed, must be " + expected);
    }

    std::string fileName;
    std::map<std::string, Setting> settings;
    std::set<std::string> knownKeys;
    std::multimap<int, std::string> faults;
};

Result<SocketAddress> socketAddressFromText(const std::string &text)
{
    const auto colon = text.rfind(':');
    auto host = text.substr(0, colon == std::string::npos ? 0 : colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    } else if (host.find(':') != std::string::npos) {
        host.clear();
    }
    const auto port = colon == std::string::npos ? std::nullopt : Internal::parseWholeNumber(std::string_view(text).substr(colon + 1));
    asio::error_code ec;
    const auto parsed = asio::ip::make_address(host, ec);
    if (ec || !port || *port > UINT16_MAX) {
        return Error{ResultCode::ValueOutOfRange, "\"" + text + "\" is not an IP address with a port, for example 10.0.0.5:8080"};
    }
    return SocketAddress{parsed.to_string(), static_cast<std::uint16_t>(*port)};
}

SettingsReader::SettingsReader(const std::string &text, std::string fileName)
    : m_d(std::make_unique<Private>())
{
    m_d->fileName = std::move(fileName);
    try {
        const auto root = YAML::Load(text);
        if (root.IsMap()) {
            m_d->collect(root, {});
        } else if (!root.IsNull()) {
            m_d->recordFault(1, "file", "must hold a map of settings");
        }
    } catch (const YAML::Exception &exception) {
        m_d->recordFault(exception.mark.line + 1, "file", "is not valid YAML: " + exception.msg);
    }
}

SettingsReader::~SettingsReader() = default;

bool SettingsReader::has(const std::string &key) const
{
    return m_d->settings.count(key) != 0;
}

std::string SettingsReader::text(const std::string &key)
{
    if (!has(key)) {
        m_d->knownKeys.insert(key);
        m_d->recordFault(0, key, "is required");
        return {};
    }
    return textOr(key, {});
}

std::string SettingsReader::textOr(const std::string &key, const std::string &fallback)
{
    return m_d->scalar(key, "a string").value_or(fallback);
}

std::string SettingsReader::oneOf(const std::string &key, const std::vector<std::string> &allowed, const std::string &fallback)
{
    const auto value = m_d->scalar(key, "a string");
    if (!value) {
        return fallback;
    }
    if (std::find(allowed.begin(), allowed.end(), *value) == allowed.end()) {
        std::string names;
        for (const auto &name : allowed) {
            names += (names.empty() ? "" : ", ") + name;
        }
        m_d->addValueFault(key, "one of " + names);
        return fallback;
    }
    return *value;
}

std::vector<std::string> SettingsReader::textsOr(const std::string &key, std::vector<std::string> fallback)
{
    auto *setting = m_d->find(key);
    if (!setting) {
        return fallback;
    }
    const auto isScalar = [](const YAML::Node &node) { return node.IsScalar(); };
    if (!setting->node.IsSequence() || !std::all_of(setting->node.begin(), setting->node.end(), isScalar)) {
        m_d->recordFault(setting->line, key, "must be a list of strings");
        return fallback;
    }
    return setting->node.as<std::vector<std::string>>();
}

std::map<std::string, std::string> SettingsReader::textMapOr(const std::string &key, std::map<std::string, std::string> fallback)
{
    if (auto *setting = m_d->find(key)) {
        if (!setting->node.IsNull()) {
            m_d->recordFault(setting->line, key, "must be a table of strings");
        }
        return fallback;
    }
    const auto prefix = key + ".";
    std::map<std::string, std::string> texts;
    for (auto it = m_d->settings.lower_bound(prefix); it != m_d->settings.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
        const auto value = m_d->scalar(it->first, "a string");
        if (value) {
            texts[it->first.substr(prefix.size())] = *value;
        }
    }
    return texts.empty() ? fallback : texts;
}

std::uint64_t SettingsReader::numberOr(const std::string &key, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum)
{
    const auto expected = "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    const auto value = m_d->scalar(key, expected);
    if (!value) {
        return fallback;
    }
    const auto n = Internal::parseWholeNumber(*value);
    if (!n || *n < minimum || *n > maximum) {
        m_d->addValueFault(key, expected);
        return fallback;
    }
    return *n;
}

double SettingsReader::decimalOr(const std::string &key, double fallback, double minimum, double maximum)
{
    const auto expected = "a number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    const auto value = m_d->scalar(key, expected);
    if (!value) {
        return fallback;
    }
    double n = 0;
    const auto [end, ec] = std::from_chars(value->data(), value->data() + value->size(), n);
    if (ec != std::errc{} || end != value->data() + value->size() || !std::isfinite(n) || n < minimum || n > maximum) {
        m_d->addValueFault(key, expected);
        return fallback;
    }
    return n;
}

bool SettingsReader::flagOr(const std::string &key, bool fallback)
{
    const auto value = m_d->scalar(key, "true or false");
    if (!value) {
        return fallback;
    }
    if (*value != "true" && *value != "false") {
        m_d->addValueFault(key, "true or false");
        return fallback;
    }
    return *value == "true";
}

Milliseconds SettingsReader::durationOr(const std::string &key, Milliseconds fallback, Milliseconds minimum, Milliseconds maximum)
{
    const auto format = [](Milliseconds span) { return Internal::formatWithUnit(static_cast<std::uint64_t>(span.count()), Internal::TimeUnits); };
    const auto expected = "a time with unit (ms, s, min, h) from " + format(minimum) + " to " + format(maximum);
    const auto value = m_d->scalar(key, expected);
    if (!value) {
        return fallback;
    }
    const auto n = Internal::parseWithUnit(*value, Internal::TimeUnits);
    if (!n || *n < static_cast<std::uint64_t>(minimum.count()) || *n > static_cast<std::uint64_t>(maximum.count())) {
        m_d->addValueFault(key, expected);
        return fallback;
    }
    return Milliseconds(*n);
}

std::uint64_t SettingsReader::bytesOr(const std::string &key, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum)
{
    const auto format = [](std::uint64_t bytes) { return Internal::formatWithUnit(bytes, Internal::ByteUnits); };
    const auto expected = "a size with unit (B, KB, MB) from " + format(minimum) + " to " + format(maximum);
    const auto value = m_d->scalar(key, expected);
    if (!value) {
        return fallback;
    }
    const auto n = Internal::parseWithUnit(*value, Internal::ByteUnits);
    if (!n || *n < minimum || *n > maximum) {
        m_d->addValueFault(key, expected);
        return fallback;
    }
    return *n;
}

SocketAddress SettingsReader::address(const std::string &key)
{
    if (!has(key)) {
        m_d->knownKeys.insert(key);
        m_d->recordFault(0, key, "is required");
        return {};
    }
    return addressOr(key, {});
}

SocketAddress SettingsReader::addressOr(const std::string &key, const SocketAddress &fallback)
{
    const auto value = m_d->scalar(key, "an IP address with a port");
    if (!value) {
        return fallback;
    }
    const auto parsed = socketAddressFromText(*value);
    if (!parsed) {
        m_d->addValueFault(key, "an IP address with a port, for example 10.0.0.5:8080");
        return fallback;
    }
    return parsed.value();
}

void SettingsReader::addFault(const std::string &key, const std::string &message)
{
    const auto it = m_d->settings.find(key);
    m_d->recordFault(it == m_d->settings.end() ? 0 : it->second.line, key, message);
}

Result<void> SettingsReader::finish()
{
    for (const auto &[key, setting] : m_d->settings) {
        if (!setting.isKnown) {
            std::string names;
            for (const auto &name : m_d->knownKeys) {
                names += (names.empty() ? "" : ", ") + name;
            }
            m_d->recordFault(setting.line, key, "is not a known key; known keys are " + names);
        }
    }
    if (m_d->faults.empty()) {
        return boost::outcome_v2::success();
    }
    std::string message;
    for (const auto &[line, fault] : m_d->faults) {
        message += (message.empty() ? "" : "\n") + fault;
    }
    return Error{ResultCode::SettingsInvalid, message};
}

}
