#include "http/headcheck.h"

#include "http/httpsyntax.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

constexpr int MinStatus = 100;
constexpr int MaxStatus = 599;
constexpr int SwitchingProtocols = 101;

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
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

bool isAcceptableStatus(int status)
{
    return status >= MinStatus && status <= MaxStatus && status != SwitchingProtocols;
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
