/** \file
 * Converts between JSON values and text that may contain bytes of callers, endpoints and other writers, which
 * need not be valid UTF-8.
 */
#pragma once

#include "base/value_type.h"

#include <functional>
#include <string>

namespace laurelhoist {

/** \return \p value as text. Bytes that are not part of a UTF-8 character become U+FFFD; plain
 * `json::dump` throws on them. */
std::string to_json_text(const json& value);

/** Levels of arrays and objects that are read of a document of another writer. The formats need ten. Code
 * that copies, compares or writes a \ref json recurses once for each level, so that deeper ones may exhaust
 * the stack.
 */
constexpr std::size_t max_foreign_depth = 32;

/** Called when a value is left out, with the document as far as it has been read. */
using omission_handler = std::function<void(const json& read_so_far)>;

/** Bounds the memory that one element of a list takes. The text `{},` is 3 bytes long and becomes a value of
 * 80 bytes, so that a megabyte of text may exhaust the memory of a small host. Levels are counted from the
 * document, which is at level 0. */
struct element_bounds {
    std::size_t element_level = 0; ///< of the elements, such as 2 for those of a list in an object
    std::size_t field_level = 0;   ///< of the fields of an element that are bounded one by one
    std::size_t max_values = 0;    ///< values in one such field, and in the rest of one element; 0: no bound
    std::size_t max_total = 0;     ///< values that are kept of the whole document; 0: no bound
};

/** Parses a document of which parts come from other writers. What JSON's grammar allows but the parser
 * rejects affects only the value it stands in: bytes that are not UTF-8 become question marks, unpaired
 * surrogates U+FFFD, and numbers beyond the range of a double null. Arrays and objects deeper than
 * \ref max_foreign_depth, or with more values than \p bounds allow, become null. Takes time and memory in
 * proportion to the length of \p text.
 * \param on_omitted called for each value that is left out for its depth or size; may be called twice for one
 * \return the document
 * \throws json::exception if \p text is not JSON otherwise either, and std::length_error if more values than
 * \p bounds allow would be kept: a list without its last elements would be taken for a whole one */
json parse_foreign_json(const std::string& text, const omission_handler& on_omitted = {},
                        const element_bounds& bounds = {});

} // namespace laurelhoist
