#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace Review
{

/// Writes what was sent, answered and run to the record of a case, with the time since its start.
class Record
{
public:
    explicit Record(const std::string &fileName)
        : m_file(fileName)
        , m_startedAt(std::chrono::steady_clock::now())
    {
    }

    void add(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_startedAt).count();
        m_file << ms << " ms: ";
        for (const char c : line) {
            const bool isPrintable = c >= ' ' && c <= '~';
            m_file << (isPrintable ? c : '?');
        }
        m_file << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_startedAt;
};

}
