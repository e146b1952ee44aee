/** \file
 * Defines the header fields of a message, and a form of them that takes about as much memory as the bytes
 * in which they arrived.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laurelhoist {

/** One header field, with its name spelled as received. */
struct header_field {
    std::string name;
    std::string value;
};

/** The header fields of a message, in order. */
class header_list {
public:
    void reserve(std::size_t fields) { fields_.reserve(fields); }
    void add(std::string name, std::string value) { fields_.push_back({std::move(name), std::move(value)}); }
    /** \return the value of the first field called \p name (case-insensitive), or null. */
    const std::string* find(std::string_view name) const;
    /** \return the value of the first field called \p name, or an empty string. */
    std::string value_or_empty(std::string_view name) const;
    const std::vector<header_field>& all() const { return fields_; }
    /** \return about how much memory the fields take, in bytes. */
    std::size_t held_bytes() const;

private:
    std::vector<header_field> fields_;
};

/** Header fields in a single text. A container with an allocation for each field takes some twenty times the
 * bytes of a head that consists of short fields. */
class packed_header_list {
public:
    void add(std::string_view name, std::string_view value);
    header_list unpack() const;
    std::size_t held_bytes() const { return text_.size(); }

private:
    std::string
        text_; ///< name, colon, value and line feed of each field; neither name nor value has the latter
    std::size_t count_ = 0;
};

/** \return whether two header names are equal, ignoring ASCII case. */
bool is_same_name(std::string_view left, std::string_view right);
/** \return the value of \p text, or nothing unless all of it is a decimal number. */
std::optional<std::int64_t> parse_number(std::string_view text);

/** The names of the hop-by-hop fields of one message, by the standard and by its Connection fields, which
 * must not be forwarded. */
class hop_by_hop_fields {
public:
    /** \param headers the fields of the message; has to outlive this object */
    explicit hop_by_hop_fields(const header_list& headers);
    bool contains(std::string_view name) const;

private:
    std::vector<std::string_view> named_; ///< those of the Connection fields, sorted without regard to case
};

} // namespace laurelhoist
