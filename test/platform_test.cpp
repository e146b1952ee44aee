#include "config_decoder.h"
#include "header_dialect.h"
#include "store_client.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist::platform {
namespace {

std::string replace_all(std::string text, const std::string& from, const std::string& to) {
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
    return text;
}

stored_object object_with(const json& spec, std::int64_t revision = 4) {
    return {"main", revision, spec, json()};
}

json sample_config() {
    return json::parse(R"({"version":7,"routes":[
      {"name":"r1","host":"a.example","path_prefix":"/p/","kind":"streaming","timeout_ms":15000,
       "target_latency_ms":1000,"priority":2,"sizes":["s","l"],"service":"pool","max_attempts":3,
       "allow_anonymous":false,"session_affinity":true,"resume_streams":true,"target_gap_ms":600,"new_field":1},
      {"name":"r2","host":"a.example","path_prefix":"/q/","kind":"unsafe","timeout_ms":2000,
       "traffic_split":[{"service":"pool","weight":90},{"service":"claims","weight":10}],"max_attempts":1}],
     "services":[{"name":"pool","health_path":"/h","max_connections":230,
       "engine":{"slots":32,"kv_capacity_tokens":1000,"models":[{"name":"s","cost":0.1},{"name":"l","cost":0.2}]}},
       {"name":"claims","health_path":"/h","max_connections":100}],
     "limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":3000,"idle_timeout_ms":15000},
     "tenants":[{"name":"osijek","api_keys":["k1","k2"],"priority":1}]})");
}

TEST(config_decoder, decodes_every_field) {
    const outcome<traffic_config> decoded = decode_config(object_with(sample_config()));
    const traffic_config* config = value_of(decoded);
    ASSERT_NE(config, nullptr);
    EXPECT_EQ(config->version, 7);
    EXPECT_EQ(config->revision, 4);
    const traffic_route& first = config->routes[0];
    EXPECT_EQ(first.kind, route_kind::stream);
    EXPECT_TRUE(first.is_resumable);
    EXPECT_EQ(first.timeout, seconds(15));
    EXPECT_EQ(first.latency_objective, seconds(1));
    EXPECT_EQ(first.models, std::vector<std::string>({"s", "l"}));
    EXPECT_EQ(config->routes[1].kind, route_kind::non_idempotent);
    EXPECT_EQ(config->routes[1].services[1].weight, 10);
    EXPECT_EQ(config->services[0].engine->slots, 32);
    EXPECT_FALSE(config->services[1].engine);
    EXPECT_EQ(config->limits.body_bytes, 200U);
    EXPECT_EQ(config->teams[0].keys[1], "k2");
    EXPECT_EQ(config->teams[0].priority, 1);
}

// A request whose kind was wrongly taken as idempotent could be retried and run twice.
TEST(config_decoder, an_unknown_kind_is_non_idempotent) {
    json config = sample_config();
    config["routes"][0]["kind"] = "brand-new";
    const outcome<traffic_config> decoded = decode_config(object_with(config));
    EXPECT_EQ(value_of(decoded)->routes[0].kind, route_kind::non_idempotent);
}

TEST(config_decoder, an_undecodable_object_gives_an_error_with_its_revision) {
    json config = sample_config();
    config["routes"][0].erase("host");
    const outcome<traffic_config> decoded = decode_config(object_with(config, 31));
    ASSERT_NE(error_of(decoded), nullptr);
    EXPECT_NE(error_of(decoded)->message.find("revision 31"), std::string::npos);
}

TEST(config_decoder, a_draining_endpoint_is_leaving) {
    const json spec = {{"service", "pool"},
                       {"address", "10.0.0.1:80"},
                       {"zone", "z"},
                       {"version", "v2"},
                       {"state", "draining"}};
    const outcome<endpoint_record> decoded = decode_endpoint(object_with(spec));
    EXPECT_EQ(value_of(decoded)->state, "leaving");
    EXPECT_EQ(value_of(decoded)->release, "v2");
    EXPECT_EQ(value_of(decoded)->name, "main");
}

json valid_endpoint() {
    return {{"service", "pool"}, {"address", "10.0.0.1:80"}, {"zone", "z"},
            {"version", "v2"},   {"state", "ready"},         {"born", 1783180167117}};
}

// Other writers may leave entries among the endpoints that lack a field, hold a number in place of a text, or
// have an unknown state. Such an entry must be refused, or it would receive requests as an endpoint.
TEST(config_decoder, refuses_an_entry_that_is_not_an_endpoint) {
    ASSERT_NE(value_of(decode_endpoint(object_with(valid_endpoint()))), nullptr);
    for (const char* field : {"service", "address", "zone", "version", "state"}) {
        json spec = valid_endpoint();
        spec.erase(field);
        EXPECT_NE(error_of(decode_endpoint(object_with(spec))), nullptr) << "without " << field;
        spec[field] = 7;
        EXPECT_NE(error_of(decode_endpoint(object_with(spec))), nullptr) << "a number as " << field;
    }
    json spec = valid_endpoint();
    spec["state"] = "resting";
    EXPECT_NE(error_of(decode_endpoint(object_with(spec))), nullptr);
    spec = valid_endpoint();
    spec["born"] = "yesterday";
    EXPECT_NE(error_of(decode_endpoint(object_with(spec))), nullptr);
    spec = valid_endpoint();
    spec["address"] = "nowhere";
    EXPECT_NE(error_of(decode_endpoint(object_with(spec))), nullptr);
    for (const json& other : {json("text"), json(), json::array({1, 2})}) {
        EXPECT_NE(error_of(decode_endpoint(object_with(other))), nullptr);
    }
}

TEST(config_decoder, decodes_the_start_time_of_an_endpoint) {
    EXPECT_EQ(value_of(decode_endpoint(object_with(valid_endpoint())))->started_at_ms, 1783180167117);
}

TEST(config_decoder, decodes_the_remaining_cold_time_of_an_endpoint) {
    json spec = valid_endpoint();
    EXPECT_EQ(value_of(decode_endpoint(object_with(spec)))->cold_ms, 0);
    spec["cold_remaining_ms"] = 1200.5;
    EXPECT_EQ(value_of(decode_endpoint(object_with(spec)))->cold_ms, 1201);
    spec["cold_remaining_ms"] = "long";
    EXPECT_NE(error_of(decode_endpoint(object_with(spec))), nullptr);
}

TEST(config_decoder, decodes_cold_start_time_and_rate_of_a_service) {
    json config = sample_config();
    config["services"][0]["cold_start_s"] = 2.5;
    config["services"][0]["cold_per_s"] = 12.0;
    const outcome<traffic_config> decoded = decode_config(object_with(config, 31));
    ASSERT_NE(value_of(decoded), nullptr);
    EXPECT_EQ(value_of(decoded)->services[0].cold_time, milliseconds(2500));
    EXPECT_EQ(value_of(decoded)->services[0].cold_requests_per_s, 12.0);
}

TEST(config_decoder, an_evacuation_is_named_after_its_domain) {
    stored_object object = object_with(json::object());
    object.name = "hall1";
    EXPECT_EQ(*value_of(decode_evacuation(object)), "hall1");
    object.name.clear();
    EXPECT_NE(error_of(decode_evacuation(object)), nullptr);
}

// Guards against one undecodable entry (not valid UTF-8, no name, or a revision that is a text) making the
// whole list unusable: of sixty entries, the other fifty-nine must be decoded.
TEST(store_answers, an_undecodable_entry_does_not_affect_others) {
    json items = json::array();
    for (int i = 0; i < 60; ++i) {
        items.push_back({{"metadata", {{"name", "e" + std::to_string(i)}, {"revision", i + 1}}},
                         {"spec", valid_endpoint()}});
    }
    const std::string placeholder = "@@";
    const json undecodable[] = {
        json("text"),
        {{"spec", valid_endpoint()}},
        {{"metadata", {{"name", "x"}, {"revision", "seven"}}}},
        {{"metadata", {{"name", 5}, {"revision", 7}}}},
        {{"metadata", {{"name", placeholder}, {"revision", 7}}}, {"spec", placeholder}}};
    for (const json& entry : undecodable) {
        json body = {{"items", items}, {"at", 90}, {"has_more", false}};
        body["items"][30] = entry;
        const std::string text = replace_all(body.dump(), placeholder, "\xff\xc3");
        const object_page page = read_page(text);
        const auto valid = std::count_if(page.items.begin(), page.items.end(), [](const auto& object) {
            return value_of(decode_endpoint(object)) != nullptr;
        });
        EXPECT_EQ(valid, 59) << entry;
    }
}

TEST(store_answers, an_undecodable_event_does_not_affect_others) {
    const json valid = {{"metadata", {{"name", "e1"}, {"revision", 5}}}, {"spec", valid_endpoint()}};
    const json body = {{"events", json::array({{{"object", "text"}, {"removed", false}},
                                               {{"object", valid}, {"removed", false}},
                                               {{"removed", false}}})},
                       {"at", 6}};
    EXPECT_EQ(read_events(body.dump()).events.size(), 1U);
}

// Guards against an entry that is valid JSON, but that the parser rejects, hiding all others from every host,
// in a list and in a watch.
TEST(store_answers, an_entry_that_the_parser_rejects_does_not_affect_others) {
    const json valid = {{"metadata", {{"name", "e1"}, {"revision", 5}}}, {"spec", valid_endpoint()}};
    json foreign = valid;
    foreign["spec"]["service"] = "@@";
    for (const char* value : {R"("redattor\udce9")", R"("\ud83d")", "1e999"}) {
        const json items = {{"items", json::array({foreign, valid})}, {"at", 6}};
        const json events = {{"events", json::array({{{"object", foreign}}, {{"object", valid}}})},
                             {"at", 6}};
        EXPECT_EQ(read_page(replace_all(items.dump(), R"("@@")", value)).items.back().name, "e1") << value;
        EXPECT_EQ(read_events(replace_all(events.dump(), R"("@@")", value)).events.back().object.name, "e1")
            << value;
    }
}

std::string nested(std::size_t depth, const std::string& open, const std::string& close) {
    std::string text;
    for (std::size_t i = 0; i < depth; ++i) {
        text += open;
    }
    for (std::size_t i = 0; i < depth; ++i) {
        text += close;
    }
    return text;
}

// Guards against an entry that ends every host which reads it, and again after each restart, because its
// value is nested so deep that a copy of it exhausts the stack.
TEST(store_answers, a_value_nested_too_deep_does_not_affect_others) {
    const json valid = {{"metadata", {{"name", "e1"}, {"revision", 5}}}, {"spec", valid_endpoint()}};
    for (const char* field : {"slots", "service", "born", "state"}) {
        json foreign = valid;
        foreign["metadata"]["name"] = "deep";
        foreign["spec"][field] = "@@";
        const json items = {{"items", json::array({foreign, valid})}, {"at", 6}};
        const json events = {{"events", json::array({{{"object", foreign}}, {{"object", valid}}})},
                             {"at", 6}};
        for (const std::string& value : {nested(400'000, "[", "]"), nested(400'000, R"({"a":[)", "]}")}) {
            const object_page page = read_page(replace_all(items.dump(), R"("@@")", value), endpoint_kind);
            const object_events heard =
                read_events(replace_all(events.dump(), R"("@@")", value), rollout_kind);
            EXPECT_EQ(page.items.size(), 2U);
            EXPECT_NE(value_of(decode_endpoint(page.items.back())), nullptr);
            EXPECT_EQ(value_of(decode_endpoint(page.items.front())) != nullptr,
                      std::string(field) == "slots");
            EXPECT_EQ(heard.events.back().object.spec, valid["spec"]);
        }
    }
}

std::string many(std::size_t count) {
    std::string text = "[{}";
    for (std::size_t i = 1; i < count; ++i) {
        text += ",{}";
    }
    return text + "]";
}

std::size_t values_in(const json& value) {
    std::size_t count = 1;
    for (const json& each : value.is_structured() ? value : json::array()) {
        count += values_in(each);
    }
    return count;
}

// Guards against a megabyte of an entry that becomes 50 MB of a host and, with others, has it killed.
TEST(store_answers, a_value_of_many_parts_costs_only_itself) {
    const json valid = {{"metadata", {{"name", "e1"}, {"revision", 5}}}, {"spec", valid_endpoint()}};
    json foreign = valid;
    foreign["metadata"]["name"] = "large";
    foreign["spec"]["labels"] = "@@";
    const json items = {{"items", json::array({foreign, valid})}, {"at", 6}};
    const json events = {{"events", json::array({{{"object", foreign}}, {{"object", valid}}})}, {"at", 6}};
    const object_page page = read_page(replace_all(items.dump(), R"("@@")", many(340'000)), endpoint_kind);
    const object_events heard =
        read_events(replace_all(events.dump(), R"("@@")", many(340'000)), rollout_kind);
    ASSERT_EQ(page.items.size(), 2U);
    ASSERT_EQ(heard.events.size(), 2U);
    EXPECT_EQ(page.shortened, std::vector<std::size_t>{0});
    EXPECT_EQ(heard.shortened, std::vector<std::size_t>{0});
    for (const stored_object& each : page.items) {
        EXPECT_NE(value_of(decode_endpoint(each)), nullptr);
    }
    EXPECT_LT(values_in(heard.events.front().object.spec), 100U);
    EXPECT_EQ(heard.events.back().object.spec, valid["spec"]);
}

// Guards against a megabyte of fields, none of which is large by itself.
TEST(store_answers, an_entry_of_many_fields_does_not_affect_others) {
    const json valid = {{"metadata", {{"name", "e1"}, {"revision", 5}}}, {"spec", valid_endpoint()}};
    json foreign = valid;
    for (int i = 0; i < 100'000; ++i) {
        foreign["spec"]["f" + std::to_string(i)] = 0;
    }
    const json items = {{"items", json::array({foreign, valid})}, {"at", 6}};
    const object_page page = read_page(items.dump(), endpoint_kind);
    ASSERT_EQ(page.items.size(), 2U);
    EXPECT_EQ(value_of(decode_endpoint(page.items.front())), nullptr);
    EXPECT_NE(value_of(decode_endpoint(page.items.back())), nullptr);
}

// Guards against a bound that refuses a configuration as large as the store accepts.
TEST(store_answers, a_configuration_of_a_megabyte_is_read_whole) {
    json spec = sample_config();
    const json route = spec["routes"][0];
    while (spec["routes"].size() < 3000) {
        spec["routes"].push_back(route);
    }
    const json items = {
        {"items", json::array({{{"metadata", {{"name", "main"}, {"revision", 5}}}, {"spec", spec}}})},
        {"at", 6}};
    EXPECT_EQ(read_page(items.dump(), config_kind).items.front().spec, spec);
}

// Guards against a name that makes the request for the next page invalid, so that no host becomes ready.
TEST(store_calls, a_name_of_any_bytes_is_encoded_in_a_listing) {
    EXPECT_EQ(list_target("servers", "a b&c\r\n%\xff", false),
              "/objects/servers?after=a%20b%26c%0D%0A%25%FF");
    EXPECT_EQ(list_target("servers", "i-7f.3_a~", true), "/objects/servers?serializable=1&after=i-7f.3_a~");
    EXPECT_EQ(list_target("servers", "", false), "/objects/servers");
}

// Guards against a listing that stops at unreadable entries at the end of a page.
TEST(store_answers, the_last_name_is_that_of_an_unreadable_entry_too) {
    const json items = {{"items", json::array({{{"metadata", {{"name", "a"}, {"revision", 1}}}},
                                               {{"metadata", {{"name", "b"}, {"revision", "seven"}}}}})},
                        {"has_more", true},
                        {"at", 6}};
    const object_page page = read_page(items.dump(), endpoint_kind);
    EXPECT_EQ(page.items.size(), 1U);
    EXPECT_EQ(page.last_name, "b");
}

TEST(store_answers, a_value_nested_too_deep_beside_the_routes_leaves_the_configuration_readable) {
    json spec = sample_config();
    spec["labels"] = "@@";
    const json items = {
        {"items", json::array({{{"metadata", {{"name", "main"}, {"revision", 5}}}, {"spec", spec}}})},
        {"at", 6}};
    const object_page page =
        read_page(replace_all(items.dump(), R"("@@")", nested(400'000, "[", "]")), config_kind);
    EXPECT_NE(value_of(decode_config(page.items.front())), nullptr);
}

// A revision that no 64-bit integer holds is converted in a way that differs between processors, or counts as
// the newest, so that the host ignores every later change.
TEST(store_client, a_revision_out_of_range_is_unreadable) {
    const auto page_with = [](const std::string& revision, const std::string& at) {
        return R"({"items":[{"metadata":{"name":"e1","revision":)" + revision +
               R"(}},{"metadata":{"name":"e2","revision":7}}],"at":)" + at + "}";
    };
    EXPECT_EQ(read_page(page_with("6", "9")).items.size(), 2U);
    for (const std::string out_of_range :
         {"9223372036854775808", "18446744073709551615", "18446744073709551616", "9223372036854775807",
          "1e300", "-1", "-9223372036854775809", "\"6\"", "null", "true"}) {
        const object_page page = read_page(page_with(out_of_range, "9"));
        ASSERT_EQ(page.items.size(), 1U) << out_of_range;
        EXPECT_EQ(page.items.front().name, "e2");
        EXPECT_THROW(read_page(page_with("6", out_of_range)), std::exception) << out_of_range;
        EXPECT_THROW(read_events(R"({"events":[],"at":)" + out_of_range + "}"), std::exception)
            << out_of_range;
    }
}

// The order of a new release may still carry the status of the previous one. Taken as its own, that status
// would make a roll-out that has not begun count as completed.
TEST(config_decoder, a_status_applies_only_to_the_release_it_names) {
    stored_object object = object_with({{"service", "pool"}, {"target", "v3"}, {"duration_s", 12}});
    object.status = {{"state", "completed"}, {"target", "v2"}};
    const outcome<rollout_order> next = decode_rollout(object);
    EXPECT_EQ(value_of(next)->state, rollout_state::ordered);
    EXPECT_EQ(value_of(next)->time_limit, seconds(12));
    object.status["target"] = "v3";
    const outcome<rollout_order> same = decode_rollout(object);
    EXPECT_EQ(value_of(same)->state, rollout_state::completed);
}

// Guards against a number of another writer whose conversion is undefined, so that hosts on other processors
// read another one, or whose sum with a time overflows.
TEST(config_decoder, numbers_out_of_range_are_bounded) {
    constexpr duration longest = std::chrono::hours(24 * 365);
    for (const char* number :
         {"1e300", "9223372036854775807", "18446744073709551615", "1e19", "100000000000000"}) {
        json config = sample_config();
        const json huge = json::parse(number);
        for (const char* field : {"timeout_ms", "target_latency_ms", "priority", "max_attempts"}) {
            config["routes"][0][field] = huge;
        }
        config["routes"][1]["traffic_split"][0]["weight"] = huge;
        config["services"][0]["cold_start_s"] = huge;
        config["services"][0]["engine"]["slots"] = huge;
        config["limits"] = {{"max_header_bytes", huge}, {"max_body_bytes", huge}};
        const outcome<traffic_config> decoded = decode_config(object_with(config));
        ASSERT_NE(value_of(decoded), nullptr) << number;
        const traffic_route& route = value_of(decoded)->routes[0];
        EXPECT_EQ(route.timeout, longest) << number;
        EXPECT_EQ(route.latency_objective, longest) << number;
        EXPECT_EQ(route.priority, 1'000'000) << number;
        EXPECT_EQ(route.max_attempts, 1'000'000) << number;
        EXPECT_EQ(value_of(decoded)->routes[1].services[0].weight, 1'000'000) << number;
        EXPECT_EQ(value_of(decoded)->services[0].cold_time, longest) << number;
        EXPECT_EQ(value_of(decoded)->services[0].engine->slots, 1'000'000) << number;
        EXPECT_EQ(value_of(decoded)->limits.header_bytes, std::size_t{1} << 30) << number;
        json spec = valid_endpoint();
        spec["cold_remaining_ms"] = huge;
        EXPECT_EQ(milliseconds(value_of(decode_endpoint(object_with(spec)))->cold_ms), longest) << number;
        const stored_object rollout = object_with({{"target", "v3"}, {"duration_s", huge}});
        EXPECT_EQ(value_of(decode_rollout(rollout))->time_limit, longest) << number;
    }
}

TEST(config_decoder, negative_numbers_are_bounded) {
    json config = sample_config();
    config["routes"][0]["timeout_ms"] = -1e300;
    config["routes"][0]["priority"] = -1e300;
    config["routes"][1]["traffic_split"][0]["weight"] = -5;
    config["services"][0]["cold_start_s"] = -1e300;
    config["services"][0]["engine"]["slots"] = -3;
    config["limits"] = {{"max_header_bytes", -1}, {"max_body_bytes", -1e300}};
    const outcome<traffic_config> decoded = decode_config(object_with(config));
    ASSERT_NE(value_of(decoded), nullptr);
    EXPECT_EQ(value_of(decoded)->routes[0].timeout, duration::zero());
    EXPECT_EQ(value_of(decoded)->routes[0].priority, -1'000'000);
    EXPECT_EQ(value_of(decoded)->routes[1].services[0].weight, 0);
    EXPECT_EQ(value_of(decoded)->services[0].cold_time, duration::zero());
    EXPECT_EQ(value_of(decoded)->services[0].engine->slots, 0);
    EXPECT_EQ(value_of(decoded)->limits.header_bytes, caller_limits().header_bytes);
    EXPECT_EQ(value_of(decoded)->limits.body_bytes, caller_limits().body_bytes);
}

TEST(config_decoder, an_address_with_a_port_out_of_range_is_refused) {
    for (const char* port : {"99999", "0", "-1", "65536", "1234567890123456789012345678901234567890"}) {
        json spec = valid_endpoint();
        spec["address"] = std::string("10.0.0.1:") + port;
        EXPECT_NE(error_of(decode_endpoint(object_with(spec))), nullptr) << port;
    }
}

caller_request request_with(const std::vector<header_field>& fields) {
    caller_request request;
    request.method = "POST";
    request.target = "/p/1?q=2";
    request.body = "body";
    for (const header_field& field : fields) {
        request.headers.add(field.name, field.value);
    }
    return request;
}

TEST(header_dialect, decodes_the_fields_of_a_request) {
    const header_dialect dialect;
    const request_terms terms = dialect.read_request(request_with({{"Host", "a.example"},
                                                                   {"x-request-id", "9c"},
                                                                   {"Authorization", "Token abc"},
                                                                   {"X-Deadline-Ms", "4000"},
                                                                   {"Session", "s1"},
                                                                   {"X-Token-Counts", "1460,80"},
                                                                   {"X-Prompt-Prefix", "5c:800,91:410"},
                                                                   {"Last-Event-Id", "12"}}));
    EXPECT_EQ(terms.id, "9c");
    EXPECT_EQ(terms.key, "abc");
    EXPECT_EQ(terms.time_left, seconds(4));
    EXPECT_EQ(terms.input_tokens, 1460);
    EXPECT_EQ(terms.prompt.size(), 2U);
    EXPECT_EQ(terms.prompt[1].tokens, 410);
    EXPECT_EQ(terms.last_event_id, 12);
}

// Guards against a time left that overflows and counts as expired or as none.
TEST(header_dialect, a_long_time_left_is_bounded) {
    for (const char* ms : {"100000000000000", "9223372036854775807"}) {
        EXPECT_EQ(header_dialect().read_request(request_with({{"X-Deadline-Ms", ms}})).time_left,
                  std::chrono::hours(24 * 365))
            << ms;
    }
}

// Guards against a part that is taken for the last one, and so for the request's own, because the parts after
// it are spelled in another way.
TEST(header_dialect, parts_without_a_number_and_in_further_fields_count) {
    const header_dialect dialect;
    const request_terms terms = dialect.read_request(
        request_with({{"X-Prompt-Prefix", "5c:800, 91,"}, {"x-prompt-prefix", "e4:x,f0:10"}}));
    std::vector<std::string> ids;
    for (const prompt_part& part : terms.prompt) {
        ids.push_back(part.id);
    }
    EXPECT_EQ(ids, std::vector<std::string>({"5c", " 91", "e4", "f0"}));
    EXPECT_EQ(terms.prompt[1].tokens, 0);
    EXPECT_EQ(terms.prompt[3].tokens, 10);
}

// A caller may forge the name of a team or fields by which only the relay may control an endpoint. Neither
// these nor the caller's key may reach the endpoint.
TEST(header_dialect, does_not_forward_keys_and_forged_fields) {
    const header_dialect dialect;
    dispatch_terms terms;
    terms.time_left = milliseconds(900);
    terms.endpoint = "i-1";
    terms.team = "osijek";
    terms.model = "large";
    terms.resume_after = 7;
    const std::string message = dialect.write_request(request_with({{"Host", "a.example"},
                                                                    {"X-Request-Id", "9c"},
                                                                    {"Authorization", "Token secret"},
                                                                    {"X-Tenant", "forged"},
                                                                    {"X-Hold", "forged"},
                                                                    {"kv-from", "forged"},
                                                                    {"X-Pin-Ms", "forged"},
                                                                    {"X-Kv-Backup", "forged"},
                                                                    {"X-Model", "*"},
                                                                    {"Last-Event-Id", "3"},
                                                                    {"Connection", "X-Private"},
                                                                    {"X-Private", "forged"},
                                                                    {"X-Kept", "yes"}}),
                                                      terms);
    EXPECT_EQ(message.find("forged"), std::string::npos) << message;
    EXPECT_EQ(message.find("secret"), std::string::npos);
    EXPECT_EQ(message.find("Last-Event-Id: 3"), std::string::npos);
    EXPECT_NE(message.find("X-Tenant: osijek\r\n"), std::string::npos);
    EXPECT_NE(message.find("X-Model: large\r\n"), std::string::npos);
    EXPECT_NE(message.find("Last-Event-Id: 7\r\n"), std::string::npos);
    EXPECT_NE(message.find("X-Deadline-Ms: 900\r\n"), std::string::npos);
    EXPECT_NE(message.find("X-Kept: yes\r\n"), std::string::npos);
    EXPECT_EQ(message.substr(message.size() - 8), "\r\n\r\nbody");
}

TEST(header_dialect, a_misdirected_request_has_not_been_run) {
    const header_dialect dialect;
    EXPECT_TRUE(dialect.read_answer(421, {}).is_not_run);
    EXPECT_FALSE(dialect.read_answer(503, {}).is_not_run);
    header_list headers;
    headers.add("X-Not-Executed", "1");
    EXPECT_TRUE(dialect.read_answer(503, headers).is_not_run);
}

std::optional<double> limit_in(const std::vector<std::string>& values) {
    header_list headers;
    for (const std::string& value : values) {
        headers.add("Server-Limit", value);
    }
    return header_dialect().read_answer(200, headers).statement.rate_limit;
}

TEST(header_dialect, a_rate_limit_is_a_decimal_number_and_the_strictest_applies) {
    EXPECT_EQ(limit_in({"1.7"}), 1.7);
    EXPECT_EQ(limit_in({"0"}), 0.0);
    EXPECT_EQ(limit_in({"12", "3", "x"}), 3.0);
    for (const char* none : {"", "-1", "nan", "inf", "1e3", "2 a second", "0x2"}) {
        EXPECT_EQ(limit_in({none}), std::nullopt) << none;
    }
}

std::optional<double> rejections_in(const std::vector<std::string>& values) {
    header_list headers;
    for (const std::string& value : values) {
        headers.add("Server-Brittle", value);
    }
    return header_dialect().read_answer(200, headers).statement.rejections_per_s;
}

TEST(header_dialect, decodes_how_many_rejections_an_endpoint_bears) {
    EXPECT_EQ(rejections_in({"20"}), 20.0);
    EXPECT_EQ(rejections_in({"0"}), 0.0);
    EXPECT_EQ(rejections_in({"2.5", "many", "7"}), 2.5);
    EXPECT_EQ(rejections_in({"99999999999999999999"}), 1e20);
    for (const char* none : {"", "-1", "nan", "inf", "1e3", "yes", "0x2"}) {
        EXPECT_EQ(rejections_in({none}), std::nullopt) << none;
    }
}

// Guards against a forwarded request that the other host refuses or handles as another one, and against its
// internal field reaching an endpoint.
TEST(header_dialect, a_forwarded_request_is_read_as_the_caller_sent_it) {
    const header_dialect dialect;
    const caller_request request = request_with({{"Authorization", "Token k1"},
                                                 {"X-Request-Id", "77"},
                                                 {"X-Model", "*"},
                                                 {"X-Deadline-Ms", "9000"},
                                                 {"Laurelhoist-Attempts", "9"},
                                                 {"Session", "s"}});
    dispatch_terms terms;
    terms.time_left = milliseconds(1234);
    terms.earlier_attempts = 2;
    terms.resume_after = 5;
    request_reader reader(4096, 4096);
    reader.feed(dialect.write_forwarded_request(request, terms));
    ASSERT_EQ(reader.advance(), request_reader::progress::complete);
    const caller_request received = reader.take();
    const request_terms read = dialect.read_request(received);
    EXPECT_EQ(read.key, "k1");
    EXPECT_EQ(read.id, "77");
    EXPECT_EQ(read.session, "s");
    EXPECT_EQ(read.time_left, milliseconds(1234));
    EXPECT_EQ(read.earlier_attempts, 2);
    EXPECT_EQ(read.last_event_id, 5);
    EXPECT_EQ(received.headers.value_or_empty("X-Model"), "*");
    EXPECT_EQ(dialect.write_request(received, dispatch_terms{}).find("Laurelhoist-Attempts"),
              std::string::npos);
}

TEST(header_dialect, decodes_that_an_endpoint_is_leaving) {
    for (const char* value : {"1", "0", "", "yes"}) {
        header_list headers;
        headers.add("Server-Leaving", value);
        EXPECT_EQ(header_dialect().read_answer(200, headers).statement.is_leaving, std::string(value) == "1")
            << value;
    }
    EXPECT_FALSE(header_dialect().read_answer(200, {}).statement.is_leaving);
}

/** \return the back-off in ms for a response with \p status and these values of Retry-After; -1 if none is
 * requested */
double back_off_in(int status, const std::vector<std::string>& values) {
    header_list headers;
    headers.add("Date", "Thu, 03 Dec 2026 09:00:00 GMT");
    for (const std::string& value : values) {
        headers.add("Retry-After", value);
    }
    const std::optional<duration> back_off = header_dialect().read_answer(status, headers).statement.back_off;
    return back_off ? to_ms(*back_off) : -1;
}

TEST(header_dialect, decodes_the_backoff_that_a_refusal_requests) {
    EXPECT_EQ(back_off_in(503, {"3"}), 3000);
    EXPECT_EQ(back_off_in(429, {"0.25"}), 250);
    EXPECT_EQ(back_off_in(503, {"1", "4", "2"}), 4000);
    EXPECT_EQ(back_off_in(503, {"Thu, 03 Dec 2026 09:00:05 GMT"}), 5000);
    EXPECT_EQ(back_off_in(503, {"99999999999999999999"}), 3600e3);
    EXPECT_EQ(back_off_in(200, {"3"}), -1);
    for (const char* none : {"", "0", "-3", "soon", "nan", "inf", "Thu, 03 Dec 2026 08:00:00 GMT"}) {
        EXPECT_EQ(back_off_in(503, {none}), -1) << none;
    }
}

RC_GTEST_PROP(header_dialect, accepts_any_header_values,
              (std::string counts, std::string prompt, std::string number)) {
    const header_dialect dialect;
    (void)dialect.read_request(request_with({{"X-Token-Counts", counts},
                                             {"X-Prompt-Prefix", prompt},
                                             {"X-Deadline-Ms", number},
                                             {"Authorization", counts}}));
}

/** A store over HTTP that gives every call the same response and records the requests. */
struct recording_store {
    recording_store(int status, const std::string& body)
        : server{loop,
                 {"--any", {"127.0.0.1", 0}},
                 http_limits{},
                 [this, status, body](const http_request& request, const auto& responder) {
                     requests.push_back(request);
                     responder->reply(status, {}, body);
                 }},
          client{loop, {"127.0.0.1", server.port()}, measured} {}

    event_loop loop;
    metrics measured;
    std::vector<http_request> requests;
    http_server server;
    store_client client;
};

TEST(store_client, a_watch_sends_its_revision_and_decodes_events) {
    recording_store store(
        200, R"({"events":[{"removed":true,"object":{"metadata":{"name":"a","revision":9}}}],"at":9})");
    std::optional<store_result<object_events>> result;
    store.client.watch("servers", 5, milliseconds(10), [&](const auto& answer) {
        result = answer;
        store.loop.stop();
    });
    store.loop.run();
    const auto* events = std::get_if<object_events>(&*result);
    ASSERT_NE(events, nullptr);
    EXPECT_EQ(events->as_of_revision, 9);
    EXPECT_TRUE(events->events[0].is_removed);
    EXPECT_EQ(store.requests[0].path, "/objects/servers");
    EXPECT_EQ(store.requests[0].parameter("watch"), "5");
}

TEST(store_client, maps_statuses_to_failures) {
    const std::pair<int, store_failure> cases[] = {{404, store_failure::missing},
                                                   {409, store_failure::conflict},
                                                   {410, store_failure::history_gone},
                                                   {429, store_failure::refused},
                                                   {503, store_failure::refused}};
    for (const auto& [status, expected] : cases) {
        recording_store store(status, "{}");
        std::optional<store_result<stored_object>> result;
        store.client.replace_status("rollouts", "pool", 3, json::object(), [&](const auto& answer) {
            result = answer;
            store.loop.stop();
        });
        store.loop.run();
        ASSERT_TRUE(std::holds_alternative<store_failure>(*result)) << status;
        EXPECT_EQ(std::get<store_failure>(*result), expected) << status;
    }
}

TEST(store_client, writes_a_status_with_its_revision) {
    recording_store store(200, R"({"metadata":{"name":"pool","revision":8}})");
    store.client.replace_status("rollouts", "pool", 3, {{"state", "running"}},
                                [&](const auto&) { store.loop.stop(); });
    store.loop.run();
    const json body = json::parse(store.requests[0].body);
    EXPECT_EQ(store.requests[0].path, "/objects/rollouts/pool/status");
    EXPECT_EQ(body["metadata"]["revision"], 3);
    EXPECT_EQ(body["status"]["state"], "running");
}

} // namespace
} // namespace laurelhoist::platform
