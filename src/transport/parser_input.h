/** \file
 * Decides when bytes that have arrived are given to Boost.Beast's HTTP parser.
 */
#pragma once

#include <boost/beast/http/error.hpp>

#include <cstddef>

namespace laurelhoist {

/** The bytes that a parser has not taken yet. Once the parser has asked for more, they are held until there
 * are as many as the shortest chunk header that ends a body: given fewer of one, the parser asserts that
 * they are complete. A message that ends in a chunk always brings as many. */
class parser_input {
public:
    /** \return whether \p size bytes may be given to the parser. */
    bool is_due(std::size_t size) const {
        constexpr std::size_t shortest_last_chunk = 5; // "0\r\n\r\n"
        return size >= (needs_more_ ? shortest_last_chunk : 1);
    }
    /** Records the result of the parser. */
    void on_parsed(const boost::beast::error_code& failure) {
        needs_more_ = failure == boost::beast::http::error::need_more;
    }

private:
    bool needs_more_ = false;
};

} // namespace laurelhoist
