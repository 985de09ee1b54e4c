#pragma once

#include <standins/Http.h>

#include <cstdio>
#include <mutex>
#include <string>

namespace Review {

/// The file `record.txt` of a case: what was sent, answered and run, with the time in milliseconds.
class Record {
public:
    explicit Record(const std::string& file)
        : m_file(std::fopen(file.c_str(), "w"))
    {
    }

    void add(const std::string& line)
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%9.1f  %s\n", now(), line.c_str());
        std::fflush(m_file);
    }

private:
    std::FILE* m_file;
    std::mutex m_mutex;
};

}
