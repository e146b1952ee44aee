/** \file
 * Defines the interface to the platform's store of versioned objects, independent of its wire protocol.
 */
#pragma once

#include "base/base.h"

#include <optional>

#include <functional>

namespace laurelhoist {

struct stored_object {
    std::string name;
    std::int64_t revision = 0; ///< of the object's last change; increases across all objects of the store
    json spec;
    json status;
};

struct object_page {
    std::vector<stored_object> items;
    bool has_more = false;
    std::int64_t as_of_revision = 0;
    std::vector<std::size_t>
        shortened{}; ///< numbers of the items that lack a value, as it was nested too deep or too large
    /// Name of the last object that the store has listed, also if it is not among \ref items as it is
    /// unreadable; empty if it has none.
    std::string last_name{};
};

struct object_event {
    stored_object object;
    bool is_removed = false;
};

struct object_events {
    std::vector<object_event> events;
    std::int64_t as_of_revision = 0;
    std::vector<std::size_t> shortened{}; ///< as \ref object_page::shortened, of the events
};

/** Reasons for which a call to the store returns no result. */
enum class store_failure {
    refused,      ///< the store did not execute the call, e.g. it was overloaded or unreachable
    unanswered,   ///< no response: a write may have been applied, or may still be applied
    conflict,     ///< the object is not at the expected revision
    missing,      ///< there is no such object
    history_gone, ///< a watch from that revision is no longer possible
    unreadable,   ///< the response could not be parsed
};

const char* to_string(store_failure failure);

template <class T>
using store_result = std::variant<T, store_failure>;

/** Asynchronous calls to the store. Each handler runs once, never before the call returns. */
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
    /** Like \ref list, but may return a state that is seconds old. Costs a tenth of a normal listing and does
     * not count towards the rate limits. */
    virtual void list_lagging(const std::string& kind, const std::string& after, page_handler done) {
        list(kind, after, std::move(done));
    }
    /** Waits up to \p wait for changes to objects of \p kind after \p revision. */
    virtual void watch(const std::string& kind, std::int64_t revision, duration wait,
                       events_handler done) = 0;
    /** Creates \p name; fails with \c conflict if it exists. */
    virtual void create(const std::string& kind, const std::string& name, const json& spec,
                        object_handler done) = 0;
    /** Replaces the status of \p name; fails with \c conflict unless the object is still at \p revision. */
    virtual void replace_status(const std::string& kind, const std::string& name, std::int64_t revision,
                                const json& status, object_handler done) = 0;
    /** Replaces the spec of \p name unconditionally. */
    virtual void replace(const std::string& kind, const std::string& name, const json& spec,
                         object_handler done) = 0;
    virtual void remove(const std::string& kind, const std::string& name, object_handler done) = 0;
};

} // namespace laurelhoist
