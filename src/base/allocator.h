#pragma once

#include <cstddef>

namespace Kumquatpick {

// Lets the allocator give blocks of at least this size back to the system as soon as they are freed. Without this, it
// keeps such sizes in its heaps after the first one was freed, where small blocks in between hold them.
void returnLargeBlocks(size_t bytes);

} // namespace Kumquatpick
