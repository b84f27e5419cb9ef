#pragma once

namespace Basilbend
{

/// Exit codes of the program. Commands end with `throw CLI::RuntimeError(OperationFailed)`.
enum ExitCode {
    Success = 0,
    OperationFailed = 1,
    WrongUsage = 2,
};

}
