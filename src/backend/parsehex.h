#pragma once

#include "base/documentreader.h"

#include <cstdint>

namespace Kumquatpick {

// A whole hexadecimal number as backend servers write incarnations and hashes.
uint64_t hexFrom(const DocumentReader&);

} // namespace Kumquatpick
