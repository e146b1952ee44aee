/** \file
 * Turns a failed assertion of the Boost libraries into an exception. Their parsers read the bytes of callers,
 * endpoints and other writers: an assertion that such bytes break ends the work on them, not the process.
 */
#pragma once

#include <stdexcept>

namespace laurelhoist {

/** Thrown where an assertion of a Boost library fails; its text names the condition and its place. */
class library_assertion : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

} // namespace laurelhoist
