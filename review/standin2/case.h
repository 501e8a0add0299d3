#pragma once

#include "record.h"

#include <cstdio>
#include <cstdlib>
#include <string>

namespace Review {

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

// The main function of a case. Its arguments are the path of the record and a folder for the nodes' logs; TROUBLE=0
// plays it without its disruption.
template <typename Case> int runCase(char** arguments)
{
    const char* trouble = std::getenv("TROUBLE");
    Record record(arguments[1]);
    auto* test = new Case(record, arguments[2]); // Its threads run until the process ends.
    int result = test->run(!trouble || std::string(trouble) != "0");
    const char* results[] = { "the rule held", "the rule was broken", "not run" };
    std::printf("%s\n", results[result]);
    std::fflush(nullptr);
    std::_Exit(result); // The nodes end with it.
}

} // namespace Review
