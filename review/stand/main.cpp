#include "stand/case.h"

#include <csignal>
#include <filesystem>
#include <iostream>

using namespace Basilbend;
using namespace Basilbend::Review;

/// Usage: cases NAME RECORD DIRECTORY, or cases engine PORT ID RECORD for a stand-in replica.
int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> words(argv, argv + argc);
    if (words.size() == 6 && words[1] == "engine") {
        return serveEngine(static_cast<std::uint16_t>(std::stoi(words[2])), words[3], words[4], std::stod(words[5]));
    }
    if (words.size() != 4) {
        std::cerr << "usage: cases NAME RECORD DIRECTORY\n";
        return CouldNotRun;
    }
    try {
        Case test(words[2], words[3]);
        const auto program = std::filesystem::absolute(words[0]).string();
        if (words[1] == "latecopy") {
            return runLateCopy(test);
        }
        if (words[1] == "cutstream") {
            return runCutStream(test, program);
        }
        if (words[1] == "cutlive") {
            return runCutLive(test, program);
        }
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
    }
    return CouldNotRun;
}
