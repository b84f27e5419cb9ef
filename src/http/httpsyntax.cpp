#include "http/httpsyntax.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

bool isControl(char c)
{
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
}

bool isTokenCharacter(char c)
{
    constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
    const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return isLetter || (c >= '0' && c <= '9') || Symbols.find(c) != std::string_view::npos;
}

}

bool isHttpToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) { return isControl(c) && c != '\t'; });
}

bool isRequestTarget(std::string_view text)
{
    return !text.empty() && text.front() == '/' && std::none_of(text.begin(), text.end(), [](char c) { return isControl(c) || c == ' '; });
}

}
