#include "base/json_text.h"

namespace laurelhoist {

std::string to_json_text(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace laurelhoist
