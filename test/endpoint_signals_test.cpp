// What endpoints say of themselves in their answers, and what the relay makes of it.
#include "relay_fixture.h"

namespace laurelhoist {
namespace {

/** A fixture whose endpoint `e0` says something of itself in each answer while `e1` says nothing. */
class endpoint_signals : public relay_fixture {
protected:
    static std::vector<scripted_answer> answers(std::size_t count, const std::string& more = "") {
        return std::vector<scripted_answer>(count, {answer_of("7", "served", more), false, false});
    }
    /** Asks once in each \p pause. \return how many were not served */
    int ask_often(int times, duration pause) {
        int unserved = 0;
        for (int i = 0; i < times; ++i) {
            unserved += has(ask("7"), "served") ? 0 : 1;
            std::this_thread::sleep_for(pause);
        }
        return unserved;
    }
};

// Guards against a host that goes on sending to an endpoint which has named a rate limit.
TEST_F(endpoint_signals, a_named_rate_limit_is_kept) {
    constexpr std::size_t most_in_4_s = 17; // 1.5 times what 2 a second allow, and 5.
    scripted_endpoint limited(answers(200, "Limit: 2\r\n"));
    scripted_endpoint free(answers(200));
    begin(route(route_kind::idempotent, 2), {limited.address(), free.address()});
    ask_often(10, milliseconds(10));
    const std::size_t before = limited.requests().size();
    EXPECT_EQ(ask_often(100, milliseconds(35)), 0) << "the other endpoint takes the rest";
    EXPECT_LE(limited.requests().size() - before, most_in_4_s);
}

} // namespace
} // namespace laurelhoist
