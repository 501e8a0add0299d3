#pragma once

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

namespace Review {

// What was sent, answered and run, one line each, with the seconds since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
    }
    ~Record() { std::fclose(m_file); }
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;

    void write(const std::string& line)
    {
        std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%9.3f %s\n", seconds(), line.c_str());
        std::fflush(m_file);
    }

    double seconds() const { return std::chrono::duration<double>(std::chrono::steady_clock::now() - m_start).count(); }

private:
    std::FILE* m_file;
    std::mutex m_mutex;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
};

} // namespace Review
