#include "cases.h"

#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <unistd.h>

namespace
{

constexpr int MaxTimeMs = 110000;

/// Ends a case that takes too long.
void watch(Review::System &system)
{
    std::thread([&system] {
        Review::sleepMs(MaxTimeMs);
        system.record().add("the case took too long");
        system.end();
        std::_Exit(2);
    }).detach();
}

}

/// Usage: review-cases NAME FOLDER, in the root of the repository. Exits with 1 if the rule was broken, 0 if it held and 2 if the case
/// could not run.
int main(int argc, char **argv)
{
    if (argc != 3 || ::access("target/basilbend", X_OK) != 0) {
        std::cerr << "usage: review-cases NAME FOLDER, after the build of the deploy file\n";
        return 2;
    }
    const auto *trouble = std::getenv("TROUBLE");
    const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
    int code = 2;
    try {
        // Threads of the stand-ins use it until the end of this process.
        auto &system = *new Review::System(argv[2]);
        watch(system);
        system.record().add(isTroubled ? "with the disruption" : "without the disruption");
        const auto verdict = Review::play(argv[1], system, isTroubled);
        system.end();
        code = verdict == Review::Verdict::Broken ? 1 : verdict == Review::Verdict::Held ? 0 : 2;
        system.record().add(code == 1 ? "the rule was broken" : code == 0 ? "the rule held" : "the case did not run");
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
    }
    std::cout << (code == 1 ? "broken" : code == 0 ? "held" : "not run") << std::endl;
    std::_Exit(code);
}
