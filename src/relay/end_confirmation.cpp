#include "relay/end_confirmation.h"

namespace laurelhoist {

namespace {

/// A refusal is seen within a few ms, or a second or two later on a busy host. No result within this time
/// means that the endpoint's machine is unreachable, which no request causes.
constexpr duration probe_timeout = seconds(3);
/// Requests recorded per probe; an engine runs a few tens at once.
constexpr std::size_t max_suspects = 256;

} // namespace

/** A connection that is opened only to find out whether it is refused. */
class end_confirmation::probe : public connection_observer {
public:
    probe(end_confirmation& owner, std::string address, time_point started_at)
        : owner_{owner},
          address_{std::move(address)},
          started_at_{started_at},
          connection_{owner.pool_.make(address_)} {}

    ~probe() override { connection_->close(); }

    void begin() { connection_->connect(*this); }
    void add(const suspected_end& suspected) {
        if (suspects_.size() < max_suspects) {
            suspects_.push_back(suspected);
        }
    }
    void cancel() { connection_->close(); }
    time_point started_at() const { return started_at_; }
    const std::vector<suspected_end>& suspects() const { return suspects_; }

    void on_connected() override {
        connection_->close();
        owner_.resolve(address_, false);
    }
    void on_connect_failed(connect_failure why) override {
        owner_.resolve(address_, why == connect_failure::refused);
    }
    void on_received(std::string_view) override {}
    void on_closed(connection_end) override {}

private:
    end_confirmation& owner_;
    std::string address_;
    time_point started_at_;
    std::shared_ptr<endpoint_connection> connection_;
    std::vector<suspected_end> suspects_;
};

void end_confirmation::probe_endpoint(const std::string& address, const suspected_end& suspected,
                                      time_point now) {
    std::shared_ptr<probe>& entry = probes_[address];
    const bool is_first = entry == nullptr;
    if (is_first) {
        entry = std::make_shared<probe>(*this, address, now);
    }
    const std::shared_ptr<probe> current = entry; // A result of the connection removes the map entry.
    current->add(suspected);
    if (is_first) {
        current->begin();
    }
}

void end_confirmation::resolve(const std::string& address, bool has_ended) {
    const auto found = probes_.find(address);
    if (found == probes_.end()) {
        return;
    }
    const std::shared_ptr<probe> resolved = std::move(found->second);
    probes_.erase(found);
    if (has_ended) {
        on_ended_(resolved->suspects());
    }
}

void end_confirmation::expire(time_point now) {
    for (auto item = probes_.begin(); item != probes_.end();) {
        if (now - item->second->started_at() <= probe_timeout) {
            ++item;
            continue;
        }
        item->second->cancel();
        item = probes_.erase(item);
    }
}

} // namespace laurelhoist
