#include "base/library_assertion.h"

#include <string>

namespace boost {

// Called by BOOST_ASSERT, as BOOST_ENABLE_ASSERT_HANDLER is defined.
void assertion_failed(const char* condition, const char* function, const char* file, long line) {
    throw laurelhoist::library_assertion(std::string(condition) + " in " + function + ", " + file + ":" +
                                         std::to_string(line));
}

void assertion_failed_msg(const char* condition, const char* message, const char* function, const char* file,
                          long line) {
    assertion_failed((std::string(condition) + " (" + message + ")").c_str(), function, file, line);
}

} // namespace boost
