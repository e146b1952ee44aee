/** \file
 * Defines the interface through which a steward acts on the platform's object API, entries, peers, engines
 * and operators. No method may call back into the core before it returns.
 */
#pragma once

#include "node/messages.h"

namespace laurelhoist {

/** A call of the platform's object API. */
struct platform_request {
    enum class action { get, create, replace, list, watch };
    std::string operation; ///< echoed by the reply
    action what = action::get;
    std::string key; ///< key of the object; for a list, the prefix of the keys
    /// replace: fails unless the object has this version; get: the reply is \c unchanged if the object still
    /// has it; watch: waits for a later version.
    std::int64_t expected_version = 0;
    json value;
};

/** One object of the platform. */
struct platform_object {
    std::string key;
    std::int64_t version = 0;
    json value;
};

/** The result of a call of the platform's object API. */
struct platform_reply {
    enum class result {
        ok,
        unchanged, ///< answer to a conditional get: the object still has the expected version
        not_found,
        conflict,
        unavailable, ///< the call failed, certainly without effect
        unknown,     ///< no answer: the call may have taken effect, or may do so later
    };
    std::string operation;
    result what = result::unknown;
    platform_object object;
    std::vector<platform_object> items; ///< the objects of a list
};

/** An order to an engine to load or unload a version. */
struct engine_order {
    std::string endpoint;
    std::string address;
    std::string action; ///< "load" or "unload"
    version_name version;
    std::int64_t fence = 0; ///< fencing token: the revision from which the order was derived
};

/** The answer to an operator's command. */
struct command_reply {
    std::string operation;
    std::optional<error> failure;
    bool is_accepted = false; ///< the change is written, and a majority of the stewards holds it
    std::int64_t revision = 0;
    std::size_t holders = 0;  ///< listed stewards that are known to hold \c revision
    std::size_t stewards = 0; ///< number of listed stewards
};

class steward_port {
public:
    steward_port() = default;
    steward_port(const steward_port&) = delete;
    steward_port& operator=(const steward_port&) = delete;
    virtual ~steward_port() = default;

    virtual void call_platform(const platform_request& request) = 0;
    virtual void send_to_entry(const std::string& incarnation, const node_message& message) = 0;
    virtual void send_to_peer(const std::string& incarnation, const node_message& message) = 0;
    /** Asks an engine which versions are loaded; the answer goes to steward_core::on_engine_status. */
    virtual void ask_engine(const endpoint_record& endpoint) = 0;
    virtual void order_engine(const engine_order& order) = 0;
    virtual void answer_operator(const command_reply& reply) = 0;
    /** \return milliseconds since 1970 on the wall clock, for records. */
    virtual std::int64_t wall_clock_ms() const = 0;
};

} // namespace laurelhoist
