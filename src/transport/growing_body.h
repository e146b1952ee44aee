/** \file
 * Defines the body of messages that Boost.Beast parses for this project.
 */
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <string>

namespace laurelhoist {

/** A body that takes memory for the bytes that have arrived. Beast's own string body sets aside the stated
 * length at once, so that a head alone decides how much memory a process takes. The parser compares the
 * length with its limit in either case. */
struct growing_body {
    using value_type = std::string;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    /** Appends what the parser finds, as Beast's BodyReader. */
    class reader {
    public:
        template <bool is_request, class Fields>
        reader(boost::beast::http::header<is_request, Fields>& /*head*/, value_type& body) : body_{body} {}

        void init(const boost::optional<std::uint64_t>& /*stated_length*/,
                  boost::beast::error_code& failure) {
            failure = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& failure) {
            const std::size_t before = body_.size();
            for (const boost::asio::const_buffer part : boost::beast::buffers_range_ref(buffers)) {
                body_.append(static_cast<const char*>(part.data()), part.size());
            }
            failure = {};
            return body_.size() - before;
        }

        void finish(boost::beast::error_code& failure) { failure = {}; }

    private:
        value_type& body_;
    };
};

} // namespace laurelhoist
