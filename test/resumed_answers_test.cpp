// What follows when a stream that has begun is resumed and the endpoint answers otherwise than with events.
#include "relay_fixture.h"

namespace laurelhoist {
namespace {

std::string whole_answer(const std::string& status, const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + status + "\r\nId: 7\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Complete answers that cannot continue a stream.
const std::vector<std::string> unsuitable_answers = {
    whole_answer("200 OK", "Receipt: r\r\n", "whole"),
    whole_answer("302 Found", "Receipt: r\r\nLocation: /b\r\n", ""),
    whole_answer("400 Bad Request", "Receipt: r\r\n", "failed"),
    whole_answer("404 Not Found", "", "failed"),
    whole_answer("500 Internal Server Error", "Receipt: r\r\n", "failed"),
    whole_answer("503 Service Unavailable", "Not-Run: 1\r\n", "failed"),
    whole_answer("421 Misdirected Request", "Misdirected: 1\r\n", ""),
    "HTTP/1.1 204 No Content\r\nId: 7\r\nReceipt: r\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nId: 7\r\nReceipt: r\r\nContent-Type: text/event-stream\r\n\r\n",
};

/** \return an answer that ends inside its second event. */
std::string broken_stream() {
    return stream_head("7") + chunk_of(event(1)) + chunk_of(event(2).substr(0, 8)) + "0\r\n\r\n";
}

/** Endpoints that break each stream after its first event, so that it is resumed. */
class resuming_fixture : public relay_fixture {
protected:
    /** \param resumed answers to the runs that resume, in this order, whichever endpoint they reach */
    void start(std::vector<std::string> resumed) {
        resumed_ = std::move(resumed);
        constexpr std::size_t count = 4;
        std::vector<std::string> addresses;
        for (std::size_t i = 0; i < count; ++i) {
            std::vector<scripted_answer> script(count, {"", false, false, [this](const std::string& request) {
                                                            return next_answer(request);
                                                        }});
            endpoints_.push_back(std::make_unique<scripted_endpoint>(std::move(script)));
            addresses.push_back(endpoints_.back()->address());
        }
        start_relay(route(route_kind::stream, 4), addresses);
        earn_repeats();
    }

    void TearDown() override {
        relay_fixture::TearDown();
        EXPECT_EQ(invariant_registry::instance().all().at("relay_follows_its_chart").broken, 0U);
    }

private:
    std::string next_answer(const std::string& request) {
        const bool is_first_run = contains(request, "Resume: 0");
        if (is_first_run) {
            return broken_stream();
        }
        const std::size_t next = resumed_runs_++;
        return next < resumed_.size() ? resumed_[next] : broken_stream();
    }

    std::vector<std::unique_ptr<scripted_endpoint>> endpoints_;
    std::vector<std::string> resumed_;
    std::atomic<std::size_t> resumed_runs_{0};
};

/** \return how many answers begin in \p text. */
std::size_t count_heads(const std::string& text) {
    std::size_t count = 0;
    for (std::size_t at = text.find("HTTP/1.1 "); at != std::string::npos;
         at = text.find("HTTP/1.1 ", at + 1)) {
        ++count;
    }
    return count;
}

class resuming_after : public resuming_fixture, public ::testing::WithParamInterface<std::size_t> {};

} // namespace

// Guards against an endpoint's whole answer that is written, head and all, into the stream that it resumes.
TEST_P(resuming_after, an_unsuitable_answer_the_stream_goes_on_elsewhere) {
    start({unsuitable_answers[GetParam()], stream_head("7") + chunk_of(event(2)) + "0\r\n\r\n"});
    const std::string answer = send_request("7");
    EXPECT_EQ(count_heads(answer), 1U) << answer;
    EXPECT_TRUE(contains(answer, chunk_of(event(1)) + chunk_of(event(2)) + "0\r\n\r\n")) << answer;
}

// Guards against a stream that looks complete although only answers that cannot continue it were left.
TEST_P(resuming_after, only_unsuitable_answers_the_stream_does_not_look_complete) {
    start(std::vector<std::string>(8, unsuitable_answers[GetParam()]));
    const std::string answer = send_request("7");
    EXPECT_EQ(count_heads(answer), 1U) << answer;
    EXPECT_FALSE(contains(answer, "0\r\n\r\n")) << answer;
    EXPECT_TRUE(was_reset_);
}

// Guards against a stream that lacks the events which arrived in one read with a gap behind them.
TEST_F(resuming_fixture, events_before_a_gap_reach_the_caller) {
    start({stream_head("7") + chunk_of(event(2) + event(4)) + "0\r\n\r\n",
           stream_head("7") + chunk_of(event(3)) + "0\r\n\r\n"});
    const std::string answer = send_request("7");
    EXPECT_TRUE(contains(answer, chunk_of(event(1)) + chunk_of(event(2)) + chunk_of(event(3)) + "0\r\n\r\n"))
        << answer;
}

INSTANTIATE_TEST_SUITE_P(each, resuming_after, ::testing::Range<std::size_t>(0, unsuitable_answers.size()));

} // namespace laurelhoist
