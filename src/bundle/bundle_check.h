/** \file
 * Defines the checks of a bundle document: first its shape against the published JSON Schema
 * (schema/bundle.schema.json), then its meaning. All faults are reported at once.
 */
#pragma once

#include "bundle/bundle_types.h"

namespace laurelhoist {

/** One fault of a document: where it is, what is wrong, how to mend it. */
struct bundle_fault {
    std::string path;
    std::string message;
    std::string remedy;
};
LAUREL_VALUE_TYPE(bundle_fault, path, message, remedy)

/** \return the text of the published JSON Schema. */
const std::string& bundle_schema_text();

/** \return every fault of \p document in shape or meaning; empty if it can be submitted. */
std::vector<bundle_fault> check_bundle(const json& document);

/** \return the bundle in \p document, or one error that lists every fault. */
outcome<bundle> parse_bundle(const json& document);

} // namespace laurelhoist
