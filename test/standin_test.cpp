#include "standin/standin.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

namespace laurelhoist {

namespace {

class standins : public ::testing::Test {
protected:
    std::uint16_t free_port() {
        boost::asio::ip::tcp::acceptor probe(loop.context(), {boost::asio::ip::make_address("127.0.0.1"), 0});
        return probe.local_endpoint().port();
    }
    http_answer ask(const std::string& method, const std::string& target, const std::string& body = "",
                    const http_headers& headers = {}) {
        http_call call;
        call.address = {"127.0.0.1", port};
        call.method = method;
        call.target = target;
        call.body = body;
        call.headers = headers;
        http_answer answer;
        client.send(call, [&](const http_answer& arrived) {
            answer = arrived;
            loop.stop();
        });
        loop.run();
        return answer;
    }

    event_loop loop;
    http_client client{loop};
    std::uint16_t port = free_port();
};

} // namespace

// Guards against a stand-in store that overwrites an object although the condition of the write does not
// hold.
TEST_F(standins, the_store_rejects_a_write_whose_condition_fails) {
    const object_store store(loop, {"127.0.0.1", port});
    EXPECT_EQ(ask("GET", "/objects/a").status, 404);
    EXPECT_EQ(ask("PUT", "/objects/a", "1", {{"If-None-Match", "*"}}).status, 200);
    EXPECT_EQ(ask("PUT", "/objects/a", "2", {{"If-None-Match", "*"}}).status, 412);
    const std::string version = ask("GET", "/objects/a").header("etag");
    EXPECT_EQ(ask("PUT", "/objects/a", "3", {{"If-Match", version}}).status, 200);
    EXPECT_EQ(ask("PUT", "/objects/a", "4", {{"If-Match", version}}).status, 412);
    EXPECT_EQ(ask("GET", "/objects/a").body, "3");
}

// Guards against watches that miss a change or that do not end after their waiting time.
TEST_F(standins, a_watch_answers_when_the_object_changes) {
    object_store store(loop, {"127.0.0.1", port});
    store.put("a", 1);
    loop.after(milliseconds(30), [&store] { store.put("a", 2); });
    EXPECT_EQ(ask("GET", "/watch/a?since=1&wait_ms=5000").body, "2");
    EXPECT_EQ(ask("GET", "/watch/a?since=2&wait_ms=20").status, 404);
}

// Guards against injected faults that differ from their description: a write whose answer is lost takes
// effect, and a store that is down refuses.
TEST_F(standins, a_write_with_a_lost_answer_takes_effect) {
    object_store store(loop, {"127.0.0.1", port});
    store.set_faults({false, 0, 1.0});
    EXPECT_EQ(ask("PUT", "/objects/a", "1", {{"If-None-Match", "*"}}).what, http_answer::result::failed);
    EXPECT_EQ(ask("GET", "/objects/a").body, "1");
    store.set_faults({true, 0, 0.0});
    EXPECT_EQ(ask("GET", "/objects/a").status, 503);
}

// Guards against an engine that accepts an order with an old fencing number, serves a version that is not
// loaded, or repeats parts of a resumed stream.
TEST_F(standins, an_engine_loads_serves_and_rejects_old_fencing_numbers) {
    weight_store weights(loop);
    engine_settings settings{"e", "pool", 2, true, {{"m@1", {0.9, 1, 1, 10}}}, {}};
    stand_in_engine engine(loop, {"127.0.0.1", port}, settings, weights);
    const std::string body = R"({"model":"m@1","messages":[{"content":"x"}],"max_tokens":3})";
    EXPECT_EQ(ask("POST", "/v1/chat/completions", body).header("x-version-missing"), "1");
    EXPECT_EQ(ask("POST", "/admin/load", R"({"version":"m@1","fence":5})").status, 200);
    EXPECT_EQ(ask("POST", "/admin/unload", R"({"version":"m@1","fence":4})").status, 412);
    loop.after(milliseconds(50), [this] { loop.stop(); });
    loop.run();
    const http_answer answer = ask("POST", "/v1/chat/completions", body, {{"X-Request-Id", "r1"}});
    EXPECT_EQ(answer.header("x-served-version"), "m@1");
    EXPECT_EQ(answer.header("x-request-id"), "r1");
    EXPECT_GE(parse_score(json::parse(answer.body)["choices"][0]["message"]["content"].get<std::string>()),
              0.0);
    const http_answer rest =
        ask("POST", "/v1/chat/completions",
            R"({"model":"m@1","messages":[{"content":"x"}],"max_tokens":3,"stream":true})",
            {{"X-Resume-From", "2"}});
    EXPECT_EQ(rest.body.find("\"index\":1"), std::string::npos);
    EXPECT_NE(rest.body.find("\"index\":2"), std::string::npos);
    EXPECT_NE(rest.body.find("[DONE]"), std::string::npos);
}

} // namespace laurelhoist
