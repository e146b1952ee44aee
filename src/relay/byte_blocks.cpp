#include "relay/byte_blocks.h"

#include <algorithm>
#include <utility>

namespace laurelhoist {

void byte_blocks::append(std::string_view bytes) {
    size_ += bytes.size();
    while (!bytes.empty()) {
        if (blocks_.empty() || blocks_.back().size() >= block_bytes) {
            blocks_.emplace_back();
        }
        std::string& last = blocks_.back();
        const std::string_view part = bytes.substr(0, block_bytes - last.size());
        last.append(part);
        bytes.remove_prefix(part.size());
    }
}

std::vector<std::string_view> byte_blocks::front(std::size_t max_parts) const {
    std::vector<std::string_view> parts;
    std::size_t skipped = taken_;
    for (const std::string& block : blocks_) {
        if (parts.size() >= max_parts) {
            break;
        }
        if (block.size() > skipped) {
            parts.push_back(std::string_view(block).substr(skipped));
        }
        skipped = 0;
    }
    return parts;
}

void byte_blocks::drop_front(std::size_t bytes) {
    bytes = std::min(bytes, size_);
    size_ -= bytes;
    taken_ += bytes;
    while (blocks_.size() > 1 && taken_ >= blocks_.front().size()) {
        taken_ -= blocks_.front().size();
        blocks_.pop_front();
    }
    if (size_ > 0) {
        return;
    }
    taken_ = 0;
    if (!blocks_.empty() && blocks_.back().capacity() <= max_kept_bytes) {
        blocks_.back().clear();
    } else {
        clear();
    }
}

void byte_blocks::clear() {
    std::deque<std::string>().swap(blocks_);
    taken_ = 0;
    size_ = 0;
}

void byte_blocks::swap(byte_blocks& other) noexcept {
    blocks_.swap(other.blocks_);
    std::swap(taken_, other.taken_);
    std::swap(size_, other.size_);
}

} // namespace laurelhoist
