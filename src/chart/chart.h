/** \file
 * Public header of the chart library: state charts that are read from files (a subset of W3C SCXML) and
 * interpreted. A chart defines which events are possible in which state and names the guard and the action
 * of each transition; the program supplies guards and actions as tables of member pointers.
 *
 * The subset: `<scxml initial>`, flat `<state id>` and `<final id>`, and
 * `<transition event target cond><script>action</script></transition>`, tried in document order.
 */
#pragma once

#include "base/base.h"

#include <map>
#include <string>
#include <vector>

namespace laurelhoist {

/** One transition as read from the file; an empty \c guard or \c action means that it has none. */
struct chart_transition {
    std::string event;
    std::string target;
    std::string guard;
    std::string action;
};

/** A validated chart: every target exists and every state can be reached. */
class chart {
public:
    /** Reads and checks the chart in the file \p path. */
    static outcome<chart> load(const std::string& path);
    /** Reads and checks the chart in \p text; \p name identifies it in errors. */
    static outcome<chart> parse(const std::string& text, const std::string& name);

    const std::string& name() const { return name_; }
    const std::string& initial() const { return initial_; }
    bool is_final(const std::string& state) const;
    bool has_state(const std::string& state) const { return states_.count(state) > 0; }
    const std::vector<chart_transition>& transitions_of(const std::string& state) const;
    const std::map<std::string, std::vector<chart_transition>>& states() const { return states_; }
    /** \return the target of the first transition of \p state for \p event, or an error that lists the
     * events that are possible there. Guards are ignored, so it is meant for charts without them. */
    outcome<std::string> next(const std::string& state, const std::string& event) const;

private:
    std::string name_;
    std::string initial_;
    std::map<std::string, std::vector<chart_transition>> states_;
    std::vector<std::string> finals_;
};

/** Reads the chart \p name from directory \p directory; ends the process with an error message if it is
 * invalid. */
chart load_chart_or_exit(const std::string& directory, const std::string& name);

/** A chart bound to the guards and actions of \p Host, which operate on a \p Context.
 *
 * The constructor throws std::invalid_argument if the chart names a guard or action that the tables lack. */
template <class Host, class Context>
class bound_chart {
public:
    using guard_function = bool (Host::*)(const Context&) const;
    using action_function = void (Host::*)(Context&);
    using guard_table = std::map<std::string, guard_function>;
    using action_table = std::map<std::string, action_function>;

    bound_chart(chart definition, guard_table guards, action_table actions)
        : definition_{std::move(definition)} {
        for (const auto& [state, transitions] : definition_.states()) {
            for (const chart_transition& transition : transitions) {
                bind(state, transition, guards, actions);
            }
        }
    }

    const chart& definition() const { return definition_; }

    /** Takes the first transition of \p context.state for \p event whose guard holds. The state changes
     * before the action runs, so the action may fire further events.
     * \return false, without any effect, if the event is not possible in this state. */
    bool fire(Host& host, Context& context, const std::string& event) const {
        const auto state = bound_.find(context.state);
        if (state == bound_.end()) {
            return false;
        }
        const auto candidates = state->second.find(event);
        if (candidates == state->second.end()) {
            return false;
        }
        for (const bound_transition& transition : candidates->second) {
            if (transition.guard != nullptr && !(host.*transition.guard)(context)) {
                continue;
            }
            context.state = transition.target;
            if (transition.action != nullptr) {
                (host.*transition.action)(context);
            }
            return true;
        }
        return false;
    }

private:
    struct bound_transition {
        std::string target;
        guard_function guard = nullptr;
        action_function action = nullptr;
    };

    template <class Table>
    typename Table::mapped_type look_up(const Table& table, const std::string& name) const {
        if (name.empty()) {
            return nullptr;
        }
        const auto found = table.find(name);
        if (found == table.end()) {
            throw std::invalid_argument("chart " + definition_.name() + " names \"" + name +
                                        "\", which the program does not define; correct the chart file");
        }
        return found->second;
    }

    void bind(const std::string& state, const chart_transition& transition, const guard_table& guards,
              const action_table& actions) {
        bound_[state][transition.event].push_back(
            {transition.target, look_up(guards, transition.guard), look_up(actions, transition.action)});
    }

    chart definition_;
    std::map<std::string, std::map<std::string, std::vector<bound_transition>>> bound_;
};

} // namespace laurelhoist
