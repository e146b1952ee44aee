// Requests of hosts that have lost their links to the endpoints.
#include "relay_fixture.h"

namespace laurelhoist {
namespace {

/** A host h1 whose endpoints refuse connections, and a peer h2 whose endpoints may work. */
class forwarding_fixture : public relay_fixture {
protected:
    void start(const traffic_route& served, const std::vector<std::string>& peer_endpoints) {
        start_relay(served, {closed_address(), closed_address(), closed_address()});
        start_peer(served, peer_endpoints);
    }

    static std::string closed_address() { return "127.0.0.1:" + std::to_string(free_port()); }

    void start_peer(const traffic_route& served, const std::vector<std::string>& endpoints) {
        relay_settings settings;
        settings.host = "h2";
        settings.failure_domain = "d1";
        peer_ = std::make_unique<relay>(peer_loop_, dialect_, peer_releases_,
                                        load_chart_or_exit(LAUREL_SOURCE_DIR "/charts", "endpoint"),
                                        load_chart_or_exit(LAUREL_SOURCE_DIR "/charts", "relay"), settings);
        traffic_config config;
        config.routes = {served};
        traffic_service service;
        service.name = "claims";
        config.services = {service};
        std::vector<endpoint_record> records;
        for (const std::string& address : endpoints) {
            records.push_back({"p" + std::to_string(records.size()), address, "d1", "claims"});
        }
        peer_->set_routing(std::make_shared<const routing_table>(config), 1);
        peer_->set_endpoints(records);
        peer_->listen_for_peers({"127.0.0.1", 0});
        set_peers(peer_->peer_port());
        peer_thread_ = std::thread([this] { peer_loop_.run(); });
    }

    /** Lets h1 know of h2, which accepts forwarded requests at \p port, and of nobody else. */
    void set_peers(std::uint16_t port, const std::vector<std::string>& lost_by_peer = {}) {
        host_status other;
        other.name = "h2";
        other.gossip_address = "127.0.0.1:1";
        other.domain = "d1";
        other.state = "serving";
        other.lost_pools = lost_by_peer;
        run_on_relay_thread([&] {
            relay_->state().peers.set_port(port);
            relay_->state().peers.set_hosts({other});
        });
    }

    void TearDown() override {
        if (peer_thread_.joinable()) {
            peer_loop_.stop();
            peer_thread_.join();
        }
        relay_fixture::TearDown();
    }

    event_loop peer_loop_;
    rollout_tracker peer_releases_;
    std::unique_ptr<relay> peer_;
    std::thread peer_thread_;
};

// Guards against refusing the callers of a host that has lost its links while other hosts reach the endpoints.
TEST_F(forwarding_fixture, a_host_without_links_serves_through_a_peer) {
    scripted_endpoint sound({{answer_of("1", "served")}});
    start(route(route_kind::non_idempotent, 1), {sound.address()});
    const std::string answer = send_request("1");
    EXPECT_TRUE(contains(answer, " 200 ")) << answer;
    EXPECT_TRUE(contains(answer, "served")) << answer;
    EXPECT_EQ(sound.requests().size(), 1U);
}

} // namespace
} // namespace laurelhoist
