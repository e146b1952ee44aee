#include "base/allocator.h"

#include "base/log.h"

#include <malloc.h>

namespace laurelhoist {

namespace {

/// Blocks from this size on are taken from the system one by one.
constexpr int min_long_block_bytes = 60 << 10;
/// What may be kept at the end of the heap for later.
constexpr int max_kept_bytes = 1 << 20;

} // namespace

allocator_memory allocated_memory() {
    const struct mallinfo2 now = mallinfo2();
    return {now.uordblks + now.hblkhd, now.fordblks};
}

void return_long_blocks_to_system() {
    const bool is_set = mallopt(M_MMAP_THRESHOLD, min_long_block_bytes) == 1 &&
                        mallopt(M_TRIM_THRESHOLD, max_kept_bytes) == 1;
    if (!is_set) {
        log_warning("allocator_not_set", {{"remedy", "expect more resident memory than the accounts show"}});
    }
}

} // namespace laurelhoist
