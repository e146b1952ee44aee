#include "routing/session_token.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr std::string_view token_prefix = "lh1.";
constexpr std::size_t max_session_id_length = 128;

std::optional<session_pins> decode_session(const std::string& token, const std::string& key) {
    if (token.rfind(token_prefix, 0) != 0) {
        return std::nullopt;
    }
    const std::size_t dot = token.find('.', token_prefix.size());
    if (dot == std::string::npos) {
        return std::nullopt;
    }
    const std::string body = token.substr(token_prefix.size(), dot - token_prefix.size());
    if (!equal_in_constant_time(token.substr(dot + 1), hmac_hex(key, body))) {
        return std::nullopt;
    }
    const json document = json::parse(base64url_decode(body), nullptr, false);
    if (!document.is_object()) {
        return std::nullopt;
    }
    return document.get<session_pins>();
}

const team_entry* find_ladder_team(const bundle* document, const std::string& team) {
    return document == nullptr ? nullptr : find_team(*document, team);
}

/** \return the version of \p model on the team's ladder; empty if there is none. */
version_name ladder_version_of(const team_entry* team, const std::string& model) {
    if (team == nullptr) {
        return {};
    }
    const auto found = std::find_if(team->ladder.begin(), team->ladder.end(),
                                    [&model](const version_name& v) { return model_of(v) == model; });
    return found == team->ladder.end() ? version_name{} : *found;
}

} // namespace

std::string encode_session(const session_pins& pins, const std::string& key) {
    const std::string body = base64url_encode(json(pins).dump());
    return std::string(token_prefix) + body + "." + hmac_hex(key, body);
}

session_pins read_session(const std::string& header, const std::string& team, const std::string& key,
                          const std::string& new_session_id) {
    if (header.empty()) {
        return {team, new_session_id, {}, 0};
    }
    const std::optional<session_pins> pins = decode_session(header, key);
    if (pins && pins->team == team) {
        return *pins;
    }
    return {team, header.substr(0, max_session_id_length), {}, 0};
}

std::vector<version_name> resolve_ladder(const fleet_view& view, const session_pins& pins) {
    std::vector<version_name> ladder;
    const team_entry* team = find_ladder_team(view.bundle_for(unit_hash(pins.session)), pins.team);
    const team_entry* fallback = find_ladder_team(view.established(), pins.team);
    team = team == nullptr ? fallback : team;
    if (team == nullptr) {
        return ladder;
    }
    for (const version_name& step : team->ladder) {
        const std::string model = model_of(step);
        const auto pin = pins.version_by_model.find(model);
        const version_name pinned =
            pin == pins.version_by_model.end() ? version_name{} : model + "@" + pin->second;
        for (const version_name& candidate : {pinned, step, ladder_version_of(fallback, model)}) {
            if (!candidate.empty() && view.is_allowed(pins.team, candidate)) {
                ladder.push_back(candidate);
                break;
            }
        }
    }
    return ladder;
}

std::string model_of(const version_name& version) {
    return version.substr(0, version.find('@'));
}

std::string version_of(const version_name& version) {
    const std::size_t at = version.find('@');
    return at == std::string::npos ? std::string{} : version.substr(at + 1);
}

} // namespace laurelhoist
