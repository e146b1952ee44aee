/** \file
 * Defines a sequence of bytes that grows at its end and shrinks at its front, and keeps no memory for what
 * has been taken.
 */
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace laurelhoist {

/** Bytes in blocks. Their addresses are valid until the next call that is not const; swap keeps them, too. */
class byte_blocks {
public:
    /// Bytes of a block; the last one may have fewer. The memory of a block is released once all of it has
    /// been taken.
    static constexpr std::size_t block_bytes = 64 << 10;
    /// Memory that an empty sequence keeps for its next bytes.
    static constexpr std::size_t max_kept_bytes = 32 << 10;

    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    void append(std::string_view bytes);
    /** \return the first bytes, in at most \p max_parts parts. */
    std::vector<std::string_view> front(std::size_t max_parts) const;
    /** Removes the first \p bytes bytes, at most \ref size. */
    void drop_front(std::size_t bytes);
    /** Removes all and releases the memory. */
    void clear();
    void swap(byte_blocks& other) noexcept;

private:
    std::deque<std::string> blocks_; ///< if nothing is left, at most one, which is empty
    std::size_t taken_ = 0;          ///< bytes of the first block that have been removed
    std::size_t size_ = 0;
};

} // namespace laurelhoist
