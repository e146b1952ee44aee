#include "relay/byte_blocks.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace laurelhoist {

namespace {

/// Sequences up to this length are copied, so that many short ones do not become many blocks that are not
/// full.
constexpr std::size_t max_copied_bytes = byte_blocks::block_bytes;

/** Appends to a block, whose memory doubles until it has that of a whole block. A string that grows itself
 * would take up to twice that. */
void append_to_block(std::string& block, std::string_view bytes) {
    const std::size_t size = block.size() + bytes.size();
    if (size > block.capacity()) {
        std::string larger;
        larger.reserve(std::min(byte_blocks::block_bytes, std::max(size, 2 * block.capacity())));
        larger.append(block);
        block.swap(larger);
    }
    block.append(bytes);
}

} // namespace

std::size_t byte_blocks::memory() const {
    std::size_t bytes = 0;
    for (const std::string& block : blocks_) {
        bytes += block.capacity();
    }
    return bytes;
}

void byte_blocks::append(std::string_view bytes) {
    while (!bytes.empty()) {
        if (blocks_.empty() || blocks_.back().size() >= block_bytes) {
            blocks_.emplace_back();
        }
        std::string& last = blocks_.back();
        const std::string_view part = bytes.substr(0, block_bytes - last.size());
        append_to_block(last, part);
        size_ += part.size();
        bytes.remove_prefix(part.size());
    }
}

void byte_blocks::splice(byte_blocks& other) {
    if (other.empty()) {
        return;
    }
    if (empty()) {
        clear();
        swap(other);
        return;
    }
    if (other.size_ <= max_copied_bytes || other.taken_ > 0) {
        for (const std::string_view part : other.front(other.blocks_.size())) {
            append(part);
        }
    } else {
        blocks_.insert(blocks_.end(), std::make_move_iterator(other.blocks_.begin() + other.first_),
                       std::make_move_iterator(other.blocks_.end()));
        size_ += other.size_;
    }
    other.clear();
}

std::vector<std::string_view> byte_blocks::front(std::size_t max_parts) const {
    std::vector<std::string_view> parts;
    std::size_t skipped = taken_;
    for (std::size_t block = first_; block < blocks_.size() && parts.size() < max_parts; ++block) {
        if (blocks_[block].size() > skipped) {
            parts.push_back(std::string_view(blocks_[block]).substr(skipped));
        }
        skipped = 0;
    }
    return parts;
}

void byte_blocks::release_first_block() {
    taken_ -= blocks_[first_].size();
    std::string().swap(blocks_[first_]);
    ++first_;
    if (first_ > blocks_.size() / 2) {
        blocks_.erase(blocks_.begin(), blocks_.begin() + static_cast<std::ptrdiff_t>(first_));
        first_ = 0;
    }
}

void byte_blocks::drop_front(std::size_t bytes) {
    bytes = std::min(bytes, size_);
    size_ -= bytes;
    taken_ += bytes;
    while (blocks_.size() - first_ > 1 && taken_ >= blocks_[first_].size()) {
        release_first_block();
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

void byte_blocks::clear() noexcept {
    std::vector<std::string>().swap(blocks_);
    first_ = 0;
    taken_ = 0;
    size_ = 0;
}

void byte_blocks::swap(byte_blocks& other) noexcept {
    blocks_.swap(other.blocks_);
    std::swap(first_, other.first_);
    std::swap(taken_, other.taken_);
    std::swap(size_, other.size_);
}

} // namespace laurelhoist
