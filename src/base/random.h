#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace Kumquatpick {

// Repeatable by its seed; decision code takes it as a parameter, so that tests are repeatable.
using Random = std::mt19937_64;

// A generator seeded by the operating system, for incarnations, keys and jitter in production.
Random seededFromSystem();

// 32 lower-case hexadecimal digits, for record and request identifiers.
std::string randomHex128(Random&);

} // namespace Kumquatpick
