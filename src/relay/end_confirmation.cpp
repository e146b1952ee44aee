#include "relay/end_confirmation.h"

namespace laurelhoist {

namespace {

/// A refusal comes within a few ms, on a host that is kept busy a second or two later; one that does not come
/// means that the endpoint's machine is dark, which no request has caused.
constexpr duration answer_limit = seconds(3);
/// Of requests that broke together; an engine runs some tens.
constexpr std::size_t most_suspects = 256;

} // namespace

/** One connection, opened only to see whether it is refused. */
class end_confirmation::question : public connection_observer {
public:
    question(end_confirmation& owner, std::string address, time_point asked_at)
        : owner_{owner},
          address_{std::move(address)},
          asked_at_{asked_at},
          connection_{owner.pool_.make(address_)} {}

    ~question() override { connection_->close(); }

    void begin() { connection_->connect(*this); }
    void add(const suspected_end& suspected) {
        if (suspects_.size() < most_suspects) {
            suspects_.push_back(suspected);
        }
    }
    void give_up() { connection_->close(); }
    time_point asked_at() const { return asked_at_; }
    const std::vector<suspected_end>& suspects() const { return suspects_; }

    void on_connected() override {
        connection_->close();
        owner_.settle(address_, false);
    }
    void on_connect_failed(connect_failure why) override {
        owner_.settle(address_, why == connect_failure::refused);
    }
    void on_received(std::string_view) override {}
    void on_closed(connection_end) override {}

private:
    end_confirmation& owner_;
    std::string address_;
    time_point asked_at_;
    std::shared_ptr<endpoint_connection> connection_;
    std::vector<suspected_end> suspects_;
};

void end_confirmation::ask(const std::string& address, const suspected_end& suspected, time_point now) {
    std::shared_ptr<question>& asked = questions_[address];
    const bool is_first = asked == nullptr;
    if (is_first) {
        asked = std::make_shared<question>(*this, address, now);
    }
    const std::shared_ptr<question> kept = asked; // Connecting may settle it at once.
    kept->add(suspected);
    if (is_first) {
        kept->begin();
    }
}

void end_confirmation::settle(const std::string& address, bool has_ended) {
    const auto found = questions_.find(address);
    if (found == questions_.end()) {
        return;
    }
    const std::shared_ptr<question> settled = std::move(found->second);
    questions_.erase(found);
    if (has_ended) {
        on_ended_(settled->suspects());
    }
}

void end_confirmation::expire(time_point now) {
    for (auto item = questions_.begin(); item != questions_.end();) {
        if (now - item->second->asked_at() <= answer_limit) {
            ++item;
            continue;
        }
        item->second->give_up();
        item = questions_.erase(item);
    }
}

} // namespace laurelhoist
