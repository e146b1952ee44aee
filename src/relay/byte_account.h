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
    std::size_t held() const { return *held_; }

private:
    friend class byte_hold;
    std::shared_ptr<std::size_t> held_ = std::make_shared<std::size_t>(0);
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
        *account_.held_ += bytes;
        *account_.held_ -= bytes_;
        bytes_ = bytes;
    }
    std::size_t bytes() const { return bytes_; }

private:
    byte_account account_;
    std::size_t bytes_ = 0;
};

} // namespace laurelhoist
