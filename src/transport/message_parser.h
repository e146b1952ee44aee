/** \file
 * Defines the parser of messages that other processes send, which uses Boost.Beast's and keeps little more
 * memory than the bytes that have arrived.
 */
#pragma once

#include "transport/header_list.h"

#include <boost/beast/http/basic_parser.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace laurelhoist {

/** Parses one HTTP/1 message. Drops chunk extensions and trailers: the fields of a trailer say nothing about
 * how a message is to be routed. */
template <bool is_request>
class message_parser : public boost::beast::http::basic_parser<is_request> {
public:
    const std::string& method() const { return method_; } ///< of a request
    const std::string& target() const { return target_; } ///< of a request
    const std::string& reason() const { return reason_; } ///< of an answer
    int status() const { return status_; }                ///< of an answer; 0 until its first line is read
    int version() const { return version_; }              ///< 10 or 11
    bool expects_continue() const { return expects_continue_; }
    const packed_header_list& fields() const { return fields_; }
    std::string& body() { return body_; }
    const std::string& body() const { return body_; }
    /** \return the memory that the message takes so far, in bytes. */
    std::size_t held_bytes() const {
        return method_.size() + target_.size() + reason_.size() + fields_.held_bytes() + body_.size();
    }

private:
    using error_code = boost::beast::error_code;
    using text = boost::beast::string_view;
    using http_field = boost::beast::http::field;

    static std::string_view to_view(text from) { return {from.data(), from.size()}; }

    void on_request_impl(boost::beast::http::verb /*known*/, text method, text target, int version,
                         error_code& failure) override {
        method_.assign(method.data(), method.size());
        target_.assign(target.data(), target.size());
        version_ = version;
        failure = {};
    }
    void on_response_impl(int status, text reason, int version, error_code& failure) override {
        status_ = status;
        reason_.assign(reason.data(), reason.size());
        version_ = version;
        failure = {};
    }
    void on_field_impl(http_field known, text name, text value, error_code& failure) override {
        failure = {};
        if (has_head_) {
            return;
        }
        fields_.add(to_view(name), to_view(value));
        expects_continue_ = expects_continue_ ||
                            (known == http_field::expect && is_same_name(to_view(value), "100-continue"));
    }
    void on_header_impl(error_code& failure) override {
        has_head_ = true;
        failure = {};
    }
    void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/, error_code& failure) override {
        failure = {}; // Memory is taken for what has arrived, and not for what a head states.
    }
    std::size_t on_body_impl(text body, error_code& failure) override {
        reserve_for_body(body_.size() + body.size());
        body_.append(body.data(), body.size());
        failure = {};
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, text /*extensions*/, error_code& failure) override {
        failure = {};
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*rest*/, text body, error_code& failure) override {
        return on_body_impl(body, failure);
    }
    void on_finish_impl(error_code& failure) override { failure = {}; }

    // A string doubles its memory as it grows, of which up to half would be unused and in no account.
    void reserve_for_body(std::size_t size) {
        constexpr std::size_t growth_divisor = 8;
        if (size > body_.capacity()) {
            body_.reserve(size + size / growth_divisor);
        }
    }

    std::string method_;
    std::string target_;
    std::string reason_;
    int status_ = 0;
    int version_ = 0;
    bool expects_continue_ = false;
    bool has_head_ = false;
    packed_header_list fields_;
    std::string body_;
};

} // namespace laurelhoist
