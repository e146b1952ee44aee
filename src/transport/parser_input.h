/** \file
 * Decides when bytes that have arrived are given to Boost.Beast's HTTP parser.
 */
#pragma once

#include <boost/beast/http/error.hpp>

#include <cstddef>

namespace laurelhoist {

/** The bytes that a parser has not taken yet. Once the parser has asked for more of a body, they are held
 * until there are as many as the shortest chunk header that ends one: given fewer, the parser asserts that
 * they are complete. A body in chunks always brings as many; a head may end with fewer. */
class parser_input {
public:
    /** \return whether \p size bytes may be given to the parser. */
    bool is_due(std::size_t size) const {
        constexpr std::size_t shortest_last_chunk = 5; // "0\r\n\r\n"
        return size >= (needs_more_ ? shortest_last_chunk : 1);
    }
    /** Records the result of a \p parser. */
    template <class Parser>
    void on_parsed(const Parser& parser, const boost::beast::error_code& failure) {
        needs_more_ = parser.is_header_done() && failure == boost::beast::http::error::need_more;
    }

private:
    bool needs_more_ = false;
};

} // namespace laurelhoist
