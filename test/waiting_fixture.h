/** \file
 * Defines a test fixture in which requests wait for an endpoint.
 */
#pragma once

#include "relay_fixture.h"

namespace laurelhoist {

/** A relay in front of one endpoint that runs one request at a time. */
class waiting_fixture : public relay_fixture {
protected:
    /** Starts the relay, and an endpoint that answers its first request once \ref free_endpoint is called and
     * the others after \p answer_time. */
    void start(const traffic_route& route, int count, duration answer_time) {
        std::vector<scripted_answer> script;
        for (int i = 0; i <= count; ++i) {
            script.push_back({"", false, false, [this, i, answer_time](const std::string& request) {
                                  if (i == 0) {
                                      freed_.get_future().wait_for(seconds(5));
                                  }
                                  std::this_thread::sleep_for(answer_time);
                                  return answer_of(id_in(request), "served");
                              }});
        }
        endpoint_ = std::make_unique<scripted_endpoint>(std::move(script));
        start_relay(route, {endpoint_->address()});
        run_on_relay_thread([this] { relay_->state().endpoints.set_slots("claims", 1, 1); });
        send("0");
        wait_until([this] { return endpoint_->requests().size() == 1; });
    }
    void TearDown() override {
        answers_.clear(); // Waits for the callers while the relay still runs.
        relay_fixture::TearDown();
    }
    void send(const std::string& id) {
        answers_.push_back(std::async(std::launch::async, [this, id] { return send_request(id); }));
    }
    /** Sends the requests 1 to \p count, each once the one before waits. */
    void send_waiting(std::size_t count) {
        for (std::size_t i = 1; i <= count; ++i) {
            send(std::to_string(i));
            wait_until([this, i] { return waiting() == i; });
        }
    }
    /** Adds an endpoint of a second release on trial, so that each request is bound to a release by its id.
     */
    void add_release_on_trial(const scripted_endpoint& endpoint) {
        run_on_relay_thread([&] {
            rollout_order order;
            order.service = "claims";
            order.release = "v2";
            order.time_limit = seconds(24);
            records_.push_back({"trial", endpoint.address(), "d1", "claims", "live", "v2", 1000});
            relay_->set_endpoints(records_);
            releases_.set_endpoint_counts("claims", {{"v1", 1}, {"v2", 1}});
            constexpr duration age = seconds(2); // By then the hosts have exchanged their sessions.
            releases_.set_orders({order}, monotonic_now() - age);
            releases_.advance(monotonic_now());
        });
    }
    /** \return ids of \p count requests that are bound to the release on trial, or to the other one */
    std::vector<std::string> ids_bound(bool to_trial, std::size_t count) {
        std::vector<std::string> ids;
        run_on_relay_thread([&] {
            for (int i = 100; ids.size() < count && i < 10'000; ++i) {
                const release_choice release =
                    releases_.choose("claims", {"", std::to_string(i), false}, monotonic_now());
                if ((release.required == "v2") == to_trial) {
                    ids.push_back(std::to_string(i));
                }
            }
        });
        return ids;
    }
    void free_endpoint() { freed_.set_value(); }
    std::size_t waiting() {
        std::size_t size = 0;
        run_on_relay_thread([&] { size = relay_->state().waiting["claims"].size(); });
        return size;
    }
    std::uint64_t count_of(const std::string& counter) {
        std::uint64_t count = 0;
        run_on_relay_thread([&] { count = relay_->state().measured.counter(counter); });
        return count;
    }
    static void wait_until(const std::function<bool()>& is_done) {
        for (int i = 0; i < 1000 && !is_done(); ++i) {
            std::this_thread::sleep_for(milliseconds(2));
        }
        ASSERT_TRUE(is_done());
    }
    int count_served() {
        int served = 0;
        for (auto& answer : answers_) {
            served += contains(answer.get(), "served") ? 1 : 0;
        }
        return served;
    }
    static std::string id_in(const std::string& request) {
        const std::size_t at = request.find("Id: ") + 4;
        return request.substr(at, request.find("\r\n", at) - at);
    }

    std::promise<void> freed_;
    std::unique_ptr<scripted_endpoint> endpoint_;
    std::vector<std::future<std::string>> answers_;
};

} // namespace laurelhoist
