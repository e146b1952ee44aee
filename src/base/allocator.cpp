#include "base/allocator.h"

#include <malloc.h>

namespace laurelhoist {

allocator_memory allocated_memory() {
    const struct mallinfo2 now = mallinfo2();
    return {now.uordblks + now.hblkhd, now.fordblks};
}

} // namespace laurelhoist
