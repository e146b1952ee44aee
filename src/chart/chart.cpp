#include "chart/chart.h"

#include <pugixml.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

namespace laurelhoist {

namespace {

error chart_error(const std::string& name, const std::string& message) {
    return {error_kind::invalid_setting, "chart " + name + ": " + message};
}

std::string trimmed(const std::string& text) {
    const std::size_t first = text.find_first_not_of(" \t\r\n");
    if (first == std::string::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

std::vector<chart_transition> read_transitions(const pugi::xml_node& state) {
    std::vector<chart_transition> transitions;
    for (const pugi::xml_node& node : state.children("transition")) {
        transitions.push_back({node.attribute("event").value(), node.attribute("target").value(),
                               node.attribute("cond").value(), trimmed(node.child_value("script"))});
    }
    return transitions;
}

std::set<std::string> reachable_states(const chart& definition) {
    std::set<std::string> reached;
    std::vector<std::string> pending{definition.initial()};
    while (!pending.empty()) {
        const std::string state = pending.back();
        pending.pop_back();
        if (!reached.insert(state).second) {
            continue;
        }
        for (const chart_transition& transition : definition.transitions_of(state)) {
            pending.push_back(transition.target);
        }
    }
    return reached;
}

std::string find_fault(const chart& definition) {
    if (!definition.has_state(definition.initial())) {
        return "the initial state \"" + definition.initial() + "\" does not exist";
    }
    for (const auto& [state, transitions] : definition.states()) {
        for (const chart_transition& transition : transitions) {
            if (transition.event.empty() || !definition.has_state(transition.target)) {
                return "state \"" + state + "\": a transition needs an event and an existing target, not \"" +
                       transition.event + "\" to \"" + transition.target + "\"";
            }
        }
    }
    const std::set<std::string> reached = reachable_states(definition);
    for (const auto& [state, transitions] : definition.states()) {
        if (reached.count(state) == 0) {
            return "state \"" + state + "\" cannot be reached; remove it or add a transition to it";
        }
    }
    return {};
}

} // namespace

outcome<chart> chart::load(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return chart_error(path, "the file cannot be read; set --charts to the directory that holds it");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse(text.str(), path);
}

outcome<chart> chart::parse(const std::string& text, const std::string& name) {
    pugi::xml_document document;
    const pugi::xml_parse_result parsed = document.load_string(text.c_str());
    if (!parsed) {
        return chart_error(name, std::string("not XML: ") + parsed.description());
    }
    const pugi::xml_node root = document.child("scxml");
    chart definition;
    definition.name_ = name;
    definition.initial_ = root.attribute("initial").value();
    for (const pugi::xml_node& node : root.children()) {
        const std::string kind = node.name();
        if (kind != "state" && kind != "final") {
            return chart_error(
                name,
                "<" + kind + "> is outside the subset of SCXML that is supported; use <state> and <final>");
        }
        definition.states_[node.attribute("id").value()] = read_transitions(node);
        if (kind == "final") {
            definition.finals_.emplace_back(node.attribute("id").value());
        }
    }
    const std::string fault = find_fault(definition);
    if (!fault.empty()) {
        return chart_error(name, fault);
    }
    return definition;
}

bool chart::is_final(const std::string& state) const {
    return std::find(finals_.begin(), finals_.end(), state) != finals_.end();
}

const std::vector<chart_transition>& chart::transitions_of(const std::string& state) const {
    static const std::vector<chart_transition> none;
    const auto found = states_.find(state);
    return found == states_.end() ? none : found->second;
}

outcome<std::string> chart::next(const std::string& state, const std::string& event) const {
    std::string possible;
    for (const chart_transition& transition : transitions_of(state)) {
        if (transition.event == event) {
            return transition.target;
        }
        possible += (possible.empty() ? "" : ", ") + transition.event;
    }
    return error{error_kind::conflict,
                 "\"" + event + "\" is not possible in the state \"" + state +
                     "\"; possible events: " + (possible.empty() ? "nothing" : possible)};
}

chart load_chart_or_exit(const std::string& directory, const std::string& name) {
    const outcome<chart> loaded = chart::load(directory + "/" + name + ".scxml");
    if (const error* failure = error_of(loaded)) {
        refuse_setting("--charts", directory, failure->message);
    }
    return *value_of(loaded);
}

} // namespace laurelhoist
