#include "relay/endpoint_probes.h"

#include <vector>

namespace laurelhoist {

class endpoint_probes::probe : public connection_observer {
public:
    probe(endpoint_probes& owner, std::string endpoint, const std::string& address, time_point started_at)
        : owner_{owner},
          endpoint_{std::move(endpoint)},
          started_at_{started_at},
          connection_{owner.pool_.make(address)} {}
    ~probe() override { connection_->close(); }

    void begin() { connection_->connect(*this); }
    time_point started_at() const { return started_at_; }

    void on_connected() override { owner_.resolve(endpoint_, true); }
    void on_connect_failed(connect_failure why) override {
        if (why == connect_failure::own_shortage) {
            // Ends this probe without a result; another begins when it is due.
            const auto ended = owner_.probes_.extract(endpoint_);
        } else {
            owner_.resolve(endpoint_, false);
        }
    }
    void on_received(std::string_view) override {}
    void on_closed(connection_end) override {}

private:
    endpoint_probes& owner_;
    std::string endpoint_;
    time_point started_at_;
    std::shared_ptr<endpoint_connection> connection_;
};

void endpoint_probes::begin(const std::string& endpoint, const std::string& address, time_point now) {
    std::shared_ptr<probe>& entry = probes_[endpoint];
    if (entry != nullptr) {
        return;
    }
    entry = std::make_shared<probe>(*this, endpoint, address, now);
    const std::shared_ptr<probe> begun = entry; // Keeps it alive if its result removes the entry.
    begun->begin();
}

void endpoint_probes::resolve(const std::string& endpoint, bool is_reachable) {
    const auto found = probes_.find(endpoint);
    if (found == probes_.end()) {
        return;
    }
    const std::shared_ptr<probe> resolved = std::move(found->second); // Owns \p endpoint, and calls this.
    probes_.erase(found);
    on_result_(endpoint, is_reachable);
}

void endpoint_probes::expire(duration timeout, time_point now) {
    std::vector<std::string> expired;
    for (const auto& [endpoint, each] : probes_) {
        if (now - each->started_at() >= timeout) {
            expired.push_back(endpoint);
        }
    }
    for (const std::string& endpoint : expired) {
        resolve(endpoint, false);
    }
}

} // namespace laurelhoist
