#include "http/headcheck.h"

#include "http/httpsyntax.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr int MinStatus = 100;
constexpr int MinFinalStatus = 200;
constexpr int MaxStatus = 599;
constexpr int SwitchingProtocols = 101;
constexpr int NoContent = 204;
constexpr int NotModified = 304;

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

bool isDecimalNumber(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isDigit);
}

}

bool isValidField(const HttpField &field)
{
    return isHttpToken(field.name) && isFieldValue(field.value);
}

bool areValidFields(const HttpFields &fields)
{
    return std::all_of(fields.begin(), fields.end(), isValidField);
}

bool isReadableFraming(const HttpFields &fields)
{
    const auto *length = fields.find("Content-Length");
    const auto *coding = fields.find("Transfer-Encoding");
    const bool isReadableLength = length == nullptr || isDecimalNumber(*length);
    // Each coding is applied once, so a second field would add one that is not decoded.
    const bool isReadableCoding = coding == nullptr || (fields.count("Transfer-Encoding") == 1 && isSameFieldName(*coding, "chunked"));
    return isReadableLength && isReadableCoding;
}

bool isAcceptableStatus(int status)
{
    return status >= MinStatus && status <= MaxStatus && status != SwitchingProtocols;
}

bool isBodilessStatus(int status)
{
    return status < MinFinalStatus || status == NoContent || status == NotModified;
}

bool hasThreeDigitStatus(std::string_view line)
{
    const auto space = std::min(line.find(' '), line.size());
    const auto first = std::min(line.find_first_not_of(' ', space), line.size());
    const auto status = line.substr(first);
    const auto end = std::find_if_not(status.begin(), status.end(), isDigit);
    return end - status.begin() == 3;
}

}
