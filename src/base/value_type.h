/** \file
 * Defines the macro that generates JSON (and thereby CBOR) conversion and comparison of a plain struct from
 * one list of fields, so that both always cover the same fields.
 */
#pragma once

#include <nlohmann/json.hpp>

namespace laurelhoist {

using json = nlohmann::json;

} // namespace laurelhoist

#define LAUREL_COMPARE_FIELD(field) &&left.field == right.field

/** Declares JSON conversion and `==`, `!=` for \p type over the listed fields. Missing fields take the
 * default of the struct, so that a newer receiver accepts messages from an older sender. */
#define LAUREL_VALUE_TYPE(type, ...)                                                                         \
    NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(type, __VA_ARGS__)                                       \
    inline bool operator==(const type& left, const type& right) {                                            \
        return true NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(LAUREL_COMPARE_FIELD, __VA_ARGS__));            \
    }                                                                                                        \
    inline bool operator!=(const type& left, const type& right) {                                            \
        return !(left == right);                                                                             \
    }
