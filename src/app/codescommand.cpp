#include "app/codescommand.h"

#include "base/resultcode.h"

#include <CLI/CLI.hpp>
#include <iostream>

namespace Basilbend
{

void addCodesCommand(CLI::App &app)
{
    auto *command = app.add_subcommand("codes", "Print the table of result codes");
    command->callback([] {
        std::cout << "# Result codes\n\nMade by `basilbend codes`. Numbers are never reused.\n\n| code | name | HTTP status | meaning |\n|---|---|---|---|\n";
        for (const auto code : allResultCodes()) {
            std::cout << "| " << static_cast<int>(code) << " | `" << resultCodeName(code) << "` | " << httpStatus(code) << " | " << resultCodeMeaning(code)
                      << " |\n";
        }
    });
}

}
