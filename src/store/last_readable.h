/** \file
 * Defines what a host believes of objects that other writers make unreadable.
 */
#pragma once

#include "base/base.h"
#include "store/object_watch.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laurelhoist {

/** The values of the objects of one kind, each as it was last readable.
 *
 * An object that becomes unreadable keeps its last value until it is readable again or removed, so that an
 * accepted order is not undone by a faulty writer. An object that was never readable has no value. */
template <class Value>
class last_readable {
public:
    using decoder = std::function<outcome<Value>(const stored_object&)>;
    using refusal_handler = std::function<void(const stored_object&, const error&)>;

    /** Takes over the present objects.
     * \param on_refused called once for each revision of an object that \p decode refuses */
    void update(const objects_by_name& objects, const decoder& decode, const refusal_handler& on_refused) {
        std::map<std::string, known_object> present;
        for (const auto& [name, object] : objects) {
            const auto earlier = known_.find(name);
            known_object known = earlier == known_.end() ? known_object{} : std::move(earlier->second);
            if (known.revision != object.revision) {
                known.revision = object.revision;
                const outcome<Value> decoded = decode(object);
                if (const Value* value = value_of(decoded)) {
                    known.value = *value;
                } else {
                    on_refused(object, *error_of(decoded));
                }
            }
            present.emplace_hint(present.end(), name, std::move(known));
        }
        known_ = std::move(present);
    }

    /** \return the values in the order of the objects' names. */
    std::vector<Value> values() const {
        std::vector<Value> values;
        for (const auto& [name, known] : known_) {
            if (known.value) {
                values.push_back(*known.value);
            }
        }
        return values;
    }

private:
    struct known_object {
        std::optional<std::int64_t> revision;
        std::optional<Value> value;
    };
    std::map<std::string, known_object> known_;
};

} // namespace laurelhoist
