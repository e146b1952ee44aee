/** \file
 * Defines how a steward's decisions reach the world: the platform's object API, entries, peers, engines
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
    std::string key; ///< of the object; the prefix for a list
    std::int64_t expected_version =
        0; ///< replace: fails unless the object has it; watch: wait for a later one
    json value;
};

/** One object of the platform. */
struct platform_object {
    std::string key;
    std::int64_t version = 0;
    json value;
};

/** What became of a call. */
struct platform_reply {
    enum class result {
        ok,
        unchanged, ///< of a conditional get
        not_found,
        conflict,
        unavailable, ///< certainly without effect
        unknown,     ///< no answer: it may have taken effect, or may yet
    };
    std::string operation;
    result what = result::unknown;
    platform_object object;
    std::vector<platform_object> items; ///< of a list
};

/** An order to an engine. */
struct engine_order {
    std::string endpoint;
    std::string address;
    std::string action; ///< "load" or "unload"
    version_name version;
    std::int64_t fence = 0; ///< the revision that the order was derived from
};

/** The answer to an operator's command. */
struct command_reply {
    std::string operation;
    std::optional<error> failure;
    bool is_accepted = false; ///< written, and held by a majority of the stewards
    std::int64_t revision = 0;
    std::size_t holders = 0;
    std::size_t stewards = 0;
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
    /** Asks an engine what it has loaded; the answer comes as on_engine_status. */
    virtual void ask_engine(const endpoint_record& endpoint) = 0;
    virtual void order_engine(const engine_order& order) = 0;
    virtual void answer_operator(const command_reply& reply) = 0;
};

} // namespace laurelhoist
