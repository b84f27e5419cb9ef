#pragma once

#include "base/timestamp.h"

#include <fstream>
#include <string>

namespace Basilbend::Review
{

/// The record of what was sent, answered and run, one line each.
class Record
{
public:
    explicit Record(const std::string &fileName);

    void add(const std::string &line);

    /// Time since the start of the record.
    Milliseconds elapsed() const;

private:
    std::ofstream m_file;
    Timestamp m_startedAt;
};

}
