#include "base/mechanisms.h"

#include <algorithm>
#include <iterator>
#include <sstream>

namespace laurelhoist {

namespace {

struct named_switch {
    const char* name;
    bool mechanisms::*member;
};

constexpr named_switch switches[] = {
    {"steps_up", &mechanisms::steps_up},
    {"keeps_time", &mechanisms::keeps_time},
    {"shared_homes", &mechanisms::shared_homes},
    {"prices_rereading", &mechanisms::prices_rereading},
    {"remembers_parts", &mechanisms::remembers_parts},
    {"hears_peer_load", &mechanisms::hears_peer_load},
    {"learns_reading_time", &mechanisms::learns_reading_time},
    {"keeps_to_domain", &mechanisms::keeps_to_domain},
    {"resumes_silent", &mechanisms::resumes_silent},
    {"vouches", &mechanisms::vouches},
    {"tries_few_endpoints", &mechanisms::tries_few_endpoints},
    {"bounds_repeats", &mechanisms::bounds_repeats},
    {"suspects_releases", &mechanisms::suspects_releases},
    {"stops_bad_releases", &mechanisms::stops_bad_releases},
    {"requires_evidence", &mechanisms::requires_evidence},
    {"proves_load", &mechanisms::proves_load},
    {"forwards_requests", &mechanisms::forwards_requests},
    {"leaves_directory", &mechanisms::leaves_directory},
    {"weighs_joint_ends", &mechanisms::weighs_joint_ends},
    {"orders_waiting", &mechanisms::orders_waiting},
    {"refuses_hopeless", &mechanisms::refuses_hopeless},
    {"protects_shares", &mechanisms::protects_shares},
    {"knows_pace", &mechanisms::knows_pace},
    {"yields_models", &mechanisms::yields_models},
};

} // namespace

std::optional<mechanisms> without_mechanisms(const std::string& text) {
    mechanisms result;
    std::istringstream names(text);
    std::string name;
    while (std::getline(names, name, ',')) {
        const auto found = std::find_if(std::begin(switches), std::end(switches),
                                        [&](const named_switch& entry) { return name == entry.name; });
        if (found == std::end(switches)) {
            return std::nullopt;
        }
        result.*(found->member) = false;
    }
    return result;
}

std::string mechanism_names() {
    std::string names;
    for (const named_switch& entry : switches) {
        names += (names.empty() ? "" : ",") + std::string(entry.name);
    }
    return names;
}

} // namespace laurelhoist
