#include "base/textfile.h"

#include <fstream>
#include <sstream>

namespace Basilbend
{

std::optional<std::string> readTextFile(const std::string &fileName)
{
    std::ifstream input(fileName);
    if (!input) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

}
