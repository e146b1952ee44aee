/** \file
 * Defines the stand-in for a model engine. It models slots, a prefix cache, streams that can be resumed and
 * cancelled, load and unload orders with fencing numbers, load reports, and faults.
 */
#pragma once

#include "standin/answer_model.h"
#include "transport/transport.h"

#include <deque>
#include <list>
#include <set>

namespace laurelhoist {

struct engine_settings {
    std::string name;
    std::string pool;
    int slots = 8;
    bool checks_fence = true;
    std::map<std::string, version_skill> versions; ///< versions that the weight store holds
    std::vector<std::string> loaded;               ///< versions loaded at the start
};

/** The faults that an engine can show. */
struct engine_faults {
    std::string mode; ///< "", "silent", "error", "leaving", "wrong_version" or "cut"
    double slow_factor = 1.0;
};
LAUREL_VALUE_TYPE(engine_faults, mode, slow_factor)

/** The weight store: limits the number of concurrent loads of all engines together. */
class weight_store {
public:
    explicit weight_store(event_loop& loop) : loop_{loop} {}
    void load(duration load_time, std::function<void()> done);

private:
    static constexpr int max_concurrent_loads = 4;
    void begin_next();
    event_loop& loop_;
    int running_ = 0;
    std::deque<std::pair<duration, std::function<void()>>> waiting_;
};

class stand_in_engine {
public:
    stand_in_engine(event_loop& loop, const socket_address& address, engine_settings settings,
                    weight_store& weights);

    void set_faults(const engine_faults& faults) { faults_ = faults; }
    const std::string& name() const { return settings_.name; }
    json statistics() const;

private:
    struct job {
        std::string request_id;
        std::string version;
        json body;
        bool is_stream = false;
        int resume_from = 0;
        std::shared_ptr<http_responder> responder;
        int next_part = 0;
        bool is_cancelled = false;
    };
    using shared_job = std::shared_ptr<job>;

    void on_request(const http_request& request, const std::shared_ptr<http_responder>& responder);
    void on_completion(const http_request& request, const std::shared_ptr<http_responder>& responder);
    void on_order(const std::string& action, const http_request& request,
                  const std::shared_ptr<http_responder>& responder);
    void begin_next();
    void run(const shared_job& work);
    void send_whole(const shared_job& work);
    void send_part(const shared_job& work);
    void end(const shared_job& work);
    duration time_to_first_token(const shared_job& work);
    std::string answer_of(const shared_job& work) const;
    http_headers headers_for(const shared_job& work) const;
    bool is_loaded(const std::string& version) const { return loaded_.count(version) > 0; }

    event_loop& loop_;
    engine_settings settings_;
    weight_store& weights_;
    engine_faults faults_;
    std::set<std::string> loaded_;
    std::set<std::string> loading_;
    std::int64_t highest_fence_ = 0;
    int running_ = 0;
    std::deque<shared_job> queue_;
    std::list<std::string> cached_prefixes_;
    std::map<std::string, std::int64_t> counts_;
    std::unique_ptr<http_server> server_;
};

} // namespace laurelhoist
