/** \file
 * Defines the stand-in for the platform's object API: versions, conditional updates, watches, and faults.
 */
#pragma once

#include "transport/transport.h"

#include <list>

namespace laurelhoist {

/** The faults that the stand-in can show. */
struct store_faults {
    bool down = false;         ///< answers every request with 503, without effect
    int slow_ms = 0;           ///< delay before each request is handled
    double lose_answers = 0.0; ///< share of writes that take effect but get no answer
};
LAUREL_VALUE_TYPE(store_faults, down, slow_ms, lose_answers)

class object_store {
public:
    object_store(event_loop& loop, const socket_address& address);

    void set_faults(const store_faults& faults) { faults_ = faults; }
    /** Writes unconditionally, as the platform does with its own objects. */
    void put(const std::string& key, const json& value);
    /** \return every object under \p prefix. */
    json list(const std::string& prefix) const;
    json statistics() const;

private:
    struct stored {
        std::int64_t version = 0;
        json value;
    };
    struct pending_watch {
        std::string key;
        std::int64_t since = 0;
        std::shared_ptr<http_responder> responder;
    };

    void on_request(const http_request& request, const std::shared_ptr<http_responder>& responder);
    void on_get(const std::string& key, const std::shared_ptr<http_responder>& responder);
    void on_put(const std::string& key, const http_request& request,
                const std::shared_ptr<http_responder>& responder);
    void on_watch(const std::string& key, const http_request& request,
                  const std::shared_ptr<http_responder>& responder);
    void notify_watches(const std::string& key);

    event_loop& loop_;
    std::map<std::string, stored> objects_;
    std::list<pending_watch> watches_;
    std::int64_t version_ = 0;
    store_faults faults_;
    random_source random_{7};
    std::map<std::string, std::int64_t> counts_;
    std::unique_ptr<http_server> server_;
};

} // namespace laurelhoist
