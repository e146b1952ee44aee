/** \file
 * Defines a sequence of bytes that grows at its end and shrinks at its front, takes little more memory than
 * its bytes, and keeps none for what has been taken.
 */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace laurelhoist {

/** Bytes in blocks. Their addresses are valid until the next call that is not const; swap keeps them, too. */
class byte_blocks {
public:
    /// Bytes of a block; the last one may have fewer. The memory of a block is released once all of it has
    /// been taken. With its overhead a block fills 64 KiB of whole pages.
    static constexpr std::size_t block_bytes = (64 << 10) - 64;
    /// Memory that an empty sequence keeps for its next bytes.
    static constexpr std::size_t max_kept_bytes = 32 << 10;

    byte_blocks() = default;
    byte_blocks(byte_blocks&& other) noexcept { swap(other); }
    byte_blocks& operator=(byte_blocks&& other) noexcept {
        clear();
        swap(other);
        return *this;
    }

    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    /** \return the memory of the blocks, in bytes. */
    std::size_t memory() const;
    void append(std::string_view bytes);
    /** Appends all of \p other, which is empty afterwards. Long sequences are moved and not copied. */
    void splice(byte_blocks& other);
    /** \return the first bytes, in at most \p max_parts parts. */
    std::vector<std::string_view> front(std::size_t max_parts) const;
    /** Removes the first \p bytes bytes, at most \ref size. */
    void drop_front(std::size_t bytes);
    /** Removes all and releases the memory. */
    void clear() noexcept;
    void swap(byte_blocks& other) noexcept;

private:
    void release_first_block();

    std::vector<std::string> blocks_; ///< those before \ref first_ have been released
    std::size_t first_ = 0;
    std::size_t taken_ = 0; ///< bytes of that block that have been removed
    std::size_t size_ = 0;
};

} // namespace laurelhoist
