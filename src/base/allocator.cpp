#include "base/allocator.h"

#include <malloc.h>

namespace Kumquatpick {

void returnLargeBlocks(size_t bytes)
{
    constexpr int freeBytesOfHeap = 4 << 20; // At the end of a heap, where they may soon be used again.
    mallopt(M_MMAP_THRESHOLD, static_cast<int>(bytes));
    mallopt(M_TRIM_THRESHOLD, freeBytesOfHeap);
}

} // namespace Kumquatpick
