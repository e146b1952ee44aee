/** \file
 * Defines the count of bytes that a host holds for one purpose, so that they can be bounded.
 */
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace laurelhoist {

/** The sum of the bytes in all \ref byte_hold objects made from it. Copies share one sum, which outlives
 * connections that end after the relay. */
class byte_account {
public:
    std::size_t held() const { return held_->bytes; }
    /** \return how many holds have bytes. */
    std::size_t holders() const { return held_->holders; }

private:
    friend class byte_hold;
    struct sums {
        std::size_t bytes = 0;
        std::size_t holders = 0;
    };
    std::shared_ptr<sums> held_ = std::make_shared<sums>();
};

/** Bytes of one request or connection, counted in an account until this object is destroyed. */
class byte_hold {
public:
    explicit byte_hold(byte_account account) : account_{std::move(account)} {}
    byte_hold(const byte_hold&) = delete;
    byte_hold& operator=(const byte_hold&) = delete;
    ~byte_hold() { set(0); }

    /** Replaces the number of bytes that this object counts for. */
    void set(std::size_t bytes) {
        account_.held_->bytes += bytes;
        account_.held_->bytes -= bytes_;
        account_.held_->holders += bytes > 0 ? 1 : 0;
        account_.held_->holders -= bytes_ > 0 ? 1 : 0;
        bytes_ = bytes;
    }
    std::size_t bytes() const { return bytes_; }

private:
    byte_account account_;
    std::size_t bytes_ = 0;
};

} // namespace laurelhoist
