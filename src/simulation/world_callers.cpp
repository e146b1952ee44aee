/** \file
 * Simulates the callers: sessions, arrivals, retries with the same idempotency key, and the checks that only
 * a caller can make.
 */
#include "simulation/nodes.h"
#include "simulation/world.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr int max_tries = 6;
constexpr double idempotency_key_share = 0.8;
constexpr double good_score = 0.7;
const std::string session_key = "session-key-of-the-world";

} // namespace

void world::set_load(double requests_per_second) {
    load_ = requests_per_second;
    ++load_generation_;
    if (load_ > 0) {
        schedule_next_arrival();
    }
}

void world::schedule_next_arrival() {
    const std::uint64_t generation = load_generation_;
    constexpr double micro = 1e6;
    const auto gap = std::chrono::microseconds(static_cast<std::int64_t>(random_.exponential(micro / load_)));
    clock.after(gap, [this, generation] {
        if (generation == load_generation_) {
            start_random_operation();
            schedule_next_arrival();
        }
    });
}

void world::start_random_operation() {
    operation op;
    const double flood = options_.flood_factor / (options_.flood_factor + options_.teams - 1);
    const auto others = static_cast<std::size_t>(std::max(1, options_.teams - 1));
    op.team = options_.teams == 1 || random_.chance(flood) ? 0 : 1 + static_cast<int>(random_.below(others));
    op.session = random_.below(sessions_[static_cast<std::size_t>(op.team)].size());
    if (random_.chance(1.0 / options_.session_length)) {
        session_state& ended = sessions_[static_cast<std::size_t>(op.team)][op.session];
        ended = {"session-" + std::to_string(op.team) + "-" + std::to_string(++last_session_), "", {}};
    }
    op.is_service = random_.chance(options_.service_share);
    op.difficulty = random_.uniform();
    op.kind = op.difficulty < 0.5 ? "short" : "long";
    // The stated kind predicts the difficulty only in part: a fifth of the requests state the other kind.
    if (random_.chance(0.2)) {
        op.kind = op.kind == "short" ? "long" : "short";
    }
    op.tokens = 10 + static_cast<int>(random_.below(30));
    op.stream = !op.is_service && random_.chance(options_.stream_share);
    if (op.is_service) {
        constexpr double read_share = 0.3;
        op.is_idempotent = random_.chance(read_share);
        op.service_path = op.is_idempotent ? "free" : "book";
    }
    const bool has_key = random_.chance(idempotency_key_share);
    if (!op.is_service) {
        constexpr double per_thousand = 1000;
        const double price = op.difficulty < options_.cheap.skill ? 1.0 : options_.costly_price;
        report_.oracle_cost += price * op.tokens / per_thousand;
    }
    op.key = has_key ? "key-" + std::to_string(last_operation_ + 1) : "";
    issue(begin_operation(op));
}

std::uint64_t world::begin_operation(operation op) {
    op.id = ++last_operation_;
    op.marker = op.marker.empty() ? "op" + std::to_string(op.id) : op.marker;
    op.began = clock.now();
    ++report_.asked;
    const std::uint64_t id = op.id;
    operations_[id] = std::move(op);
    return id;
}

std::uint64_t world::ask(std::size_t index, const operation& op) {
    const std::uint64_t id = begin_operation(op);
    issue_to(id, index);
    return id;
}

std::uint64_t world::ask_with_token(std::size_t index, const operation& op, const std::string& token) {
    sessions_[static_cast<std::size_t>(op.team)][op.session].token = token;
    return ask(index, op);
}

std::uint64_t world::ask_any(const operation& op) {
    const std::uint64_t id = begin_operation(op);
    issue(id);
    return id;
}

const caller_reply* world::reply_to(std::uint64_t operation_id) const {
    const auto found = replies_.find(operation_id);
    return found == replies_.end() ? nullptr : &found->second;
}

std::int64_t world::run_count(const std::string& marker) const {
    const auto found = runs_by_marker_.find(marker);
    return found == runs_by_marker_.end() ? 0 : found->second;
}

// A caller asks a random running entry for the entries of its session and takes the first that is up. Each
// try starts one entry further down the list.
std::optional<std::size_t> world::choose_entry(const operation& op) {
    const session_state& session = sessions_[static_cast<std::size_t>(op.team)][op.session];
    const std::size_t first = random_.below(entries_.size());
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        const entry_node& asked = *entries_[(first + i) % entries_.size()];
        if (!asked.is_up() || asked.is_paused()) {
            continue;
        }
        std::vector<entry_choice> choices = asked.core->entries_for(session.id);
        std::rotate(choices.begin(),
                    choices.begin() +
                        std::min<std::ptrdiff_t>(op.tries, static_cast<std::ptrdiff_t>(choices.size())),
                    choices.end());
        for (const entry_choice& choice : choices) {
            for (std::size_t index = 0; index < entries_.size(); ++index) {
                if (entries_[index]->name() == choice.address && entries_[index]->is_up()) {
                    return index;
                }
            }
        }
    }
    return std::nullopt;
}

void world::issue(std::uint64_t id) {
    const std::optional<std::size_t> chosen = choose_entry(operations_.at(id));
    if (chosen) {
        issue_to(id, *chosen);
    } else {
        retry_later(id, milliseconds(500));
    }
}

void world::issue_to(std::uint64_t id, std::size_t index) {
    operation& op = operations_.at(id);
    entry_node& entry = *entries_[index];
    ++op.tries;
    op.entry = index;
    op.entry_incarnation = entry.incarnation();
    op.text.clear();
    op.parts = 0;
    op.session_id = sessions_[static_cast<std::size_t>(op.team)][op.session].id;
    const session_state& session = sessions_[static_cast<std::size_t>(op.team)][op.session];
    caller_request request;
    request.caller = id;
    request.team_key = team_name(op.team) + "-key";
    request.service = op.is_service ? "booking" : "";
    request.path = op.service_path;
    request.kind = op.kind;
    request.idempotency_key = op.key;
    request.session = session.token.empty() ? session.id : session.token;
    request.prefix = session.id;
    request.stream = op.stream;
    request.expected_tokens = op.tokens;
    request.body = {
        {"marker", op.marker}, {"difficulty", op.difficulty}, {"tokens", op.tokens}, {"prefix", session.id}};
    if (op.is_service && !op.is_idempotent) {
        at_most_once_markers_.insert(op.marker);
    }
    constexpr duration client_latency = milliseconds(3);
    clock.after(client_latency, [this, id, request, &entry, incarnation = entry.incarnation()] {
        const auto asked = operations_.find(id);
        if (asked == operations_.end() || asked->second.entry_incarnation != incarnation) {
            return; // The entry was lost and the operation was sent to another.
        }
        if (!entry.is_up() || entry.incarnation() != incarnation) {
            retry_later(id, milliseconds(50)); // The connection is refused: the request was not sent.
            return;
        }
        entry.run_in_incarnation([&entry, request] { entry.core->on_request(request, entry.local_now()); });
    });
}

void world::retry_later(std::uint64_t id, duration delay) {
    operation& op = operations_.at(id);
    if (op.tries >= max_tries || !options_.callers_retry) {
        ++report_.refused;
        operations_.erase(id);
        return;
    }
    op.entry_incarnation.clear();
    clock.after(delay, [this, id] {
        if (operations_.count(id) > 0) {
            issue(id);
        }
    });
}

// The connection breaks and the caller does not know whether the call ran. It retries only idempotent calls
// and calls with an idempotency key.
void world::on_entry_lost(const std::string& incarnation) {
    std::vector<std::uint64_t> lost;
    for (const auto& [id, op] : operations_) {
        if (op.entry_incarnation == incarnation) {
            lost.push_back(id);
        }
    }
    std::sort(lost.begin(), lost.end());
    for (const std::uint64_t id : lost) {
        const operation& op = operations_.at(id);
        if (op.is_idempotent || !op.key.empty()) {
            retry_later(id, milliseconds(100));
        } else {
            ++report_.failed;
            operations_.erase(id);
        }
    }
}

void world::on_stream(const stream_part& part) {
    const auto found = operations_.find(part.caller);
    if (found == operations_.end()) {
        return;
    }
    operation& op = found->second;
    switch (part.what) {
    case stream_part::kind::text:
        if (!op.has_first_part) {
            op.has_first_part = true;
            report_.first_token_ms.push_back(to_ms(clock.now() - op.began));
        }
        op.text += part.text;
        ++op.parts;
        return;
    case stream_part::kind::restart:
        ++report_.stream_restarts;
        op.text.clear();
        op.parts = 0;
        return;
    case stream_part::kind::failure:
        on_reply(part.summary);
        return;
    case stream_part::kind::end:
        break;
    }
    const bool is_replayed = op.parts <= 1;
    std::string expected;
    for (int i = 0; i < op.tokens; ++i) {
        expected += op.marker + "/" + std::to_string(i) + " ";
    }
    invariant("own_whole_answer", is_replayed || op.text == expected, [&] {
        return json{{"operation", op.id},
                    {"parts", op.parts},
                    {"tokens", op.tokens},
                    {"text", op.text.substr(0, 200)}};
    });
    on_reply(part.summary);
}

void world::on_reply(const caller_reply& reply) {
    const auto found = operations_.find(reply.caller);
    if (found == operations_.end()) {
        return;
    }
    replies_[reply.caller] = reply;
    if (reply.status == 200) {
        const operation done = found->second;
        operations_.erase(found);
        const json& body = reply.body;
        const std::string text = done.is_service
                                     ? body.value("done", "")
                                     : body["choices"][0]["message"]["content"].get<std::string>();
        on_complete_answer(done, reply, text);
        return;
    }
    on_error_reply(found->first, reply);
}

void world::on_complete_answer(const operation& done, const caller_reply& reply, const std::string& text) {
    invariant("own_whole_answer", text.rfind(done.marker, 0) == 0, [&] {
        return json{{"operation", done.id}, {"marker", done.marker}, {"got", text}};
    });
    ++report_.whole;
    const double took = to_ms(clock.now() - done.began);
    report_.latency_ms.push_back(took);
    report_.latency_by_team[done.team].push_back(took);
    const std::string bill = done.key.empty() ? reply.request_id : done.key;
    answered_bills_.insert({team_name(done.team), bill});
    if (done.is_service) {
        ++report_.service_calls;
        return;
    }
    ++report_.model_answers;
    const std::size_t at = text.rfind("score=");
    const bool is_good = at != std::string::npos && std::atof(text.c_str() + at + 6) >= good_score;
    report_.good_model_answers += is_good ? 1 : 0;
    if (bad_versions_.count(reply.version) > 0) {
        ++report_.bad_version_released;
        report_.bad_version_answers += is_good ? 0 : 1;
    }
    check_session(done, reply);
}

void world::check_session(const operation& done, const caller_reply& reply) {
    session_state& session = sessions_[static_cast<std::size_t>(done.team)][done.session];
    if (reply.session.empty() || reply.version.empty() || done.session_id != session.id) {
        return;
    }
    const std::string model = model_of(reply.version);
    const auto held = session.version_by_model.find(model);
    const entry_node& entry = *entries_[done.entry];
    if (held != session.version_by_model.end() && held->second != reply.version && entry.is_up() &&
        !session.token.empty()) {
        const bool was_allowed = entry.core->view().is_allowed(team_name(done.team), held->second);
        // Two requests of a session may be in flight while its version is stopped. A request that began
        // before the session last changed its version used a token that the caller has since replaced, so its
        // reply may name another version.
        const bool is_overtaken = done.began < session_changed_[session.id];
        // The reply says that the pinned version was not allowed when the request was admitted.
        const bool is_move_announced = reply.moved_from == held->second;
        invariant("session_keeps_version", !was_allowed || is_overtaken || is_move_announced, [&] {
            return json{{"session", session.id},
                        {"from", held->second},
                        {"to", reply.version},
                        {"entry", entry.name()},
                        {"revision", entry.core->revision()},
                        {"token_revision",
                         read_session(session.token, team_name(done.team), session_key, "").revision},
                        {"answered_under",
                         read_session(reply.session, team_name(done.team), session_key, "").revision},
                        {"moved_from", reply.moved_from},
                        {"tries", done.tries},
                        {"age_ms", to_ms(clock.now() - done.began)}};
        });
    }
    if (held == session.version_by_model.end() || held->second != reply.version) {
        session_changed_[session.id] = clock.now();
    }
    // The token pins a version of each model of the ladder: if a session is moved while a costlier model
    // answers, its token already holds the new cheap version.
    const session_pins pins = read_session(reply.session, team_name(done.team), session_key, "");
    for (const auto& [pinned_model, version] : pins.version_by_model) {
        session.version_by_model[pinned_model] = pinned_model + "@" + version;
    }
    session.token = reply.session;
}

void world::on_error_reply(std::uint64_t id, const caller_reply& reply) {
    const operation& op = operations_.at(id);
    const json failure = reply.body.value("error", json::object());
    const std::string ran = failure.value("ran", "unknown");
    if (ran == "no") {
        invariant("not_run_is_true", run_requests_.count(reply.request_id) == 0, [&] {
            return json{{"request", reply.request_id}, {"error", failure}};
        });
        refused_requests_.insert(reply.request_id);
    }
    const bool may_repeat = ran == "no" || op.is_idempotent || !op.key.empty();
    const std::string kind = failure.value("kind", "");
    const bool is_final = kind == "conflict" || kind == "unauthorized" || kind == "forbidden";
    if (may_repeat && !is_final && op.tries < max_tries && options_.callers_retry) {
        retry_later(id, milliseconds(std::max(50, reply.retry_after_ms)));
        return;
    }
    ++(ran == "no" ? report_.refused : report_.failed);
    operations_.erase(id);
}

} // namespace laurelhoist
