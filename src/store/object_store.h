/** \file
 * Defines the store of versioned objects that the platform runs, as our code sees it. Its wire form is
 * elsewhere.
 */
#pragma once

#include "base/base.h"

#include <optional>

#include <functional>

namespace laurelhoist {

struct stored_object {
    std::string name;
    std::int64_t revision = 0; ///< of its last change; grows over all objects
    json spec;
    json status;
};

struct object_page {
    std::vector<stored_object> items;
    bool has_more = false;
    std::int64_t as_of_revision = 0;
};

struct object_event {
    stored_object object;
    bool is_removed = false;
};

struct object_events {
    std::vector<object_event> events;
    std::int64_t as_of_revision = 0;
};

/** Why a call gave no result. */
enum class store_failure {
    refused,      ///< the store did nothing (too busy, not serving this host)
    unanswered,   ///< no answer: a write may have been done, or may be done yet
    conflict,     ///< the object is not at the expected revision
    missing,      ///< there is no such object
    history_gone, ///< a watch from that revision is no longer possible
    unreadable,   ///< an answer that is none
};

const char* to_string(store_failure failure);

template <class T>
using store_result = std::variant<T, store_failure>;

/** Calls of the store. Each handler is called once, never before the call returns. */
class object_store {
public:
    using page_handler = std::function<void(const store_result<object_page>&)>;
    using events_handler = std::function<void(const store_result<object_events>&)>;
    using object_handler = std::function<void(const store_result<stored_object>&)>;

    object_store() = default;
    object_store(const object_store&) = delete;
    object_store& operator=(const object_store&) = delete;
    virtual ~object_store() = default;

    /** Lists the objects of \p kind whose names come after \p after. */
    virtual void list(const std::string& kind, const std::string& after, page_handler done) = 0;
    /** As \ref list, of a state that may be seconds old: for a tenth of the price, and outside the rates. */
    virtual void list_lagging(const std::string& kind, const std::string& after, page_handler done) {
        list(kind, after, std::move(done));
    }
    /** Waits up to \p wait for what happens to objects of \p kind after \p revision. */
    virtual void watch(const std::string& kind, std::int64_t revision, duration wait,
                       events_handler done) = 0;
    /** Creates \p name; \c conflict if it exists. */
    virtual void create(const std::string& kind, const std::string& name, const json& spec,
                        object_handler done) = 0;
    /** Replaces the status of \p name if it is still at \p revision. */
    virtual void replace_status(const std::string& kind, const std::string& name, std::int64_t revision,
                                const json& status, object_handler done) = 0;
    /** Replaces the spec of \p name, whatever its revision. */
    virtual void replace(const std::string& kind, const std::string& name, const json& spec,
                         object_handler done) = 0;
    virtual void remove(const std::string& kind, const std::string& name, object_handler done) = 0;
};

} // namespace laurelhoist
