/** \file
 * Defines the validation of a bundle document: first its structure against the published JSON Schema
 * (schema/bundle.schema.json), then its semantics. All errors of the failing stage are reported at once.
 */
#pragma once

#include "bundle/bundle_types.h"

namespace laurelhoist {

/** One error in a document: its path, what is wrong and how to fix it. */
struct bundle_fault {
    std::string path;
    std::string message;
    std::string remedy;
};
LAUREL_VALUE_TYPE(bundle_fault, path, message, remedy)

/** \return the text of the published JSON Schema. */
const std::string& bundle_schema_text();

/** \return the structural errors of \p document or, if there are none, the semantic ones; empty if it is
 * valid. */
std::vector<bundle_fault> check_bundle(const json& document);

/** \return the bundle in \p document, or one error that lists everything \ref check_bundle reports. */
outcome<bundle> parse_bundle(const json& document);

} // namespace laurelhoist
