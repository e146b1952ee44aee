// The part of an exchange that reads an endpoint's answer and forwards it to the caller.
#include "relay/exchange.h"

#include <algorithm>
#include <utility>

namespace laurelhoist {

namespace {

/// A prompt of this length takes an engine 50 ms or more, which affects the choices of other hosts.
constexpr std::int64_t long_prompt_tokens = 1500;
/// The constant part of the time to the first event: a network round trip and the engine's first step (5 ms).
constexpr double fixed_latency_ms = 8;
/// A stream with fewer intervals does not show the pace of its endpoint: one prompt read meanwhile outweighs
/// them.
constexpr int min_intervals_for_pace = 4;
/// What may be held of each answer, however much is held of the others.
constexpr std::size_t min_answer_share_bytes = 16 << 10;
/// From this status on, a request that may be repeated is sent to another endpoint.
constexpr int first_server_error = 500;

} // namespace

bool exchange::is_good_enough(const answer_terms& given) {
    if (attempt_.is_forwarded()) {
        return true; // The other host has made the choice.
    }
    if (attempt_.is_trial) {
        return true; // A trial is a single attempt, and a complete answer clears the request.
    }
    const bool has_larger = attempt_.model_rank + 1 < route_->models.size();
    if (!state_.settings.in_use.steps_up || !given.confidence || !has_larger || has_begun_answer_ ||
        !route_->may_repeat()) {
        return true;
    }
    if (*given.confidence >= state_.settings.cascade.confidence_for(route_->priority) ||
        attempts_ >= route_->max_attempts) {
        return true;
    }
    const time_point now = monotonic_now();
    const double budget_share = larger_model_share(now);
    if (budget_share <= 0 || would_outlast_stop(now)) {
        return true;
    }
    const model_placements larger =
        placements_from(attempt_.model_rank + 1, no_size_limit, make_placement_criteria(), now);
    return !largest_model_in_time(larger.options, route_->priority, step_up_budget_ms(now) * budget_share) ||
           !state_.repeats_of(service_).try_step_up(now);
}

void exchange::start_reader() {
    drop_answer();
    reader_.emplace(request_.method == "HEAD");
    answer_.reset();
    first_event_.restart();
    has_excess_bytes_ = false;
    stray_bytes_ = 0;
}

void exchange::drop_answer() {
    body_.clear();
    events_.begin_run();
    held_answer_.set(0);
    held_framing_.set(0);
}

void exchange::on_received(std::string_view bytes) {
    auto self = shared_from_this();
    owner_.run_guarded(*this, [this, bytes] {
        read_answer(bytes);
        bound_answer_work();
    });
}

// Decoded once for each answer, because a stream arrives in dozens of pieces.
const answer_terms& exchange::answer() {
    if (!answer_) {
        answer_ = state_.dialect.read_answer(reader_->status(), reader_->headers());
    }
    return *answer_;
}

bool exchange::is_event_stream() const {
    constexpr std::string_view type = "text/event-stream";
    constexpr int status_no_content = 204;
    const bool has_body = request_.method != "HEAD" && reader_->status() != status_no_content;
    return route_->kind == route_kind::stream && has_body && reader_->status() / status_class == 2 &&
           reader_->headers().value_or_empty("Content-Type").compare(0, type.size(), type) == 0;
}

// An endpoint may send a duplicate answer to an earlier request on the same connection. Its request id shows
// that it is not the answer to this request.
bool exchange::is_stray_answer() {
    return !answer().request_id.empty() && answer().request_id != terms_.id;
}

void exchange::read_answer(std::string_view bytes) {
    while (!bytes.empty() && !is_in_state("finished")) {
        std::string part_of_body;
        const std::optional<std::size_t> used = reader_->feed(bytes, part_of_body);
        if (!used) {
            on_invalid_answer();
            return;
        }
        bytes.remove_prefix(*used);
        attempt_.unspent_work += work_of_reading(*used, part_of_body.size());
        if (!hold_framing() || !reader_->has_head()) {
            return;
        }
        if (is_stray_answer()) {
            has_excess_bytes_ = true;
            stray_bytes_ += *used;
            if (stray_bytes_ > state_.settings.max_answer_bytes) {
                refuse_answer("stray", stray_bytes_, state_.settings.max_answer_bytes);
                return;
            }
            if (!reader_->is_complete()) {
                return;
            }
            state_.measured.count("stray_answers");
            reader_.emplace(request_.method == "HEAD");
            answer_.reset();
            continue;
        }
        attempt_.heard_at = monotonic_now();
        has_excess_bytes_ = has_excess_bytes_ || !bytes.empty();
        record_endpoint_statement();
        if (lacks_receipt()) {
            end_attempt(attempt_end::broken); // At the head, as nothing of its body can be used.
            return;
        }
        if (!is_event_stream()) {
            body_.append(part_of_body);
        } else if (!forward_events(part_of_body)) {
            return;
        }
        if (!hold_answer()) {
            return;
        }
        if (reader_->is_complete()) {
            on_answer_complete();
        }
        return;
    }
}

bool exchange::lacks_receipt() {
    return reader_->status() / status_class == 2 && !answer().has_receipt && !answer().is_misdirected &&
           !answer().is_not_run;
}

void exchange::on_invalid_answer() {
    const char* reason = to_string(reader_->fault());
    log_info("answer_invalid", {{"request", terms_.id},
                                {"endpoint", attempt_.chosen.endpoint.name},
                                {"reason", reason},
                                {"has_head", reader_->has_head()},
                                {"bytes", reader_->received_bytes()}});
    state_.measured.count(std::string("answers_invalid_") + reason);
    end_attempt(attempt_end::broken);
}

// Guards against a host that runs out of memory because many endpoints send heads, or what surrounds a body,
// without end.
bool exchange::hold_framing() {
    const std::size_t bytes = reader_->held_bytes();
    held_framing_.set(bytes);
    if (bytes <= min_answer_share_bytes || has_room_for_answers()) {
        return true;
    }
    refuse_answer("framing", bytes, min_answer_share_bytes);
    return false;
}

bool exchange::has_room_for_answers() const {
    return state_.answer_framing_bytes.held() + bytes_beyond_shares(state_.held_for_answers(0)) <=
           state_.settings.answer_buffer_bytes;
}

// Guards against a host that runs out of memory because endpoints send bodies, or events, without end. Each
// answer may have as much as leaves room for all that are held at present, and all of them as much as the
// buffer.
bool exchange::hold_answer() {
    if (is_passed_on_) {
        pass_on();
        if (passed_on_bytes_ <= state_.settings.max_answer_bytes) {
            return true;
        }
        refuse_answer("too_large", passed_on_bytes_, state_.settings.max_answer_bytes);
        return false;
    }
    const std::size_t bytes = body_.size() + events_.partial_bytes();
    held_answer_.set(bytes);
    const std::size_t holders = std::max<std::size_t>(1, state_.answer_bytes.holders());
    const std::size_t share = std::clamp(state_.settings.answer_buffer_bytes / holders,
                                         min_answer_share_bytes, state_.settings.max_answer_bytes);
    const std::size_t limit = has_room_for_answers() ? share : min_answer_share_bytes;
    const bool is_beyond_share = bytes > limit && limit < state_.settings.max_answer_bytes;
    const bool is_beyond_room = bytes > room_for_answer(state_.held_for_answers(bytes));
    if ((is_beyond_share || is_beyond_room) && may_pass_on()) {
        state_.measured.count("answers_passed_on");
        pass_on();
        return true;
    }
    if (bytes <= limit) {
        return true;
    }
    refuse_answer("too_large", bytes, limit);
    return false;
}

std::optional<std::size_t> exchange::stated_length() const {
    const std::optional<std::int64_t> length =
        parse_number(reader_->headers().value_or_empty("Content-Length"));
    if (!length || *length < 0 || reader_->headers().find("Transfer-Encoding") != nullptr) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(*length);
}

// A whole answer can be repeated by another endpoint until its first byte has been passed on, so it is held
// while there is room.
bool exchange::may_pass_on() {
    return stated_length().value_or(0) <= state_.settings.max_answer_bytes &&
           reader_->status() < first_server_error && answer().has_receipt && !answer().is_misdirected &&
           !answer().is_not_run && !is_event_stream() && !has_begun_answer_;
}

void exchange::begin_passing_on() {
    is_passed_on_ = true;
    has_begun_answer_ = true;
    ++state_.passed_on;
    record_first_byte();
    apply_event("begun");
    const std::optional<std::size_t> length = stated_length();
    passes_in_chunks_ = !length && request_.accepts_chunks;
    // Without a length and without chunks, only the end of the connection shows the end of the answer.
    request_.keeps_alive = request_.keeps_alive && (length || passes_in_chunks_);
    const body_framing framing = length              ? body_framing::length
                                 : passes_in_chunks_ ? body_framing::chunks
                                                     : body_framing::end_of_connection;
    caller_->write(answer_head(reader_->status(), reader_->headers(), framing, length.value_or(0)));
}

void exchange::pass_on() {
    if (!is_passed_on_) {
        begin_passing_on();
    }
    passed_on_bytes_ += body_.size();
    if (passes_in_chunks_) {
        write_chunk(std::move(body_));
    } else {
        caller_->write(std::move(body_));
    }
    held_answer_.set(0);
    if (!reader_->is_complete()) {
        pause_for_caller();
    }
}

void exchange::write_chunk(byte_blocks&& bytes) {
    if (bytes.empty()) {
        return; // An empty chunk would end the answer.
    }
    caller_->write(chunk_head(bytes.size()));
    caller_->write(std::move(bytes));
    caller_->write("\r\n");
}

void exchange::record_answer_size() {
    constexpr std::size_t min_long_bytes = 16 << 10;
    const std::size_t bytes = is_passed_on_ ? passed_on_bytes_ : body_.size();
    if (bytes > min_long_bytes) {
        state_.long_answers[route_->name] = bytes;
    } else if (!state_.long_answers.empty()) {
        state_.long_answers.erase(route_->name);
    }
}

void exchange::pause_for_caller() {
    if (!is_caller_gone_ && caller_->unsent_bytes() > owner_.max_unsent_bytes_per_caller()) {
        connection_->pause_reading();
        attempt_.has_paused = true;
    }
}

void exchange::refuse_answer(const char* reason, std::size_t bytes, std::size_t limit) {
    state_.measured.count(std::string("answers_refused_") + reason);
    log_warning("answer_refused",
                {{"request", terms_.id},
                 {"endpoint", attempt_.chosen.endpoint.name},
                 {"reason", reason},
                 {"bytes", bytes},
                 {"limit_bytes", limit},
                 {"held_bytes", state_.answer_bytes.held()},
                 {"resident_bytes", process_resident_bytes()},
                 {"remedy", "raise --max_answer_kb if the endpoint's answers are that large"}});
    end_attempt(attempt_end::broken);
}

void exchange::notify_load_changed() {
    if (attempt_.chosen.unread_tokens >= long_prompt_tokens && state_.on_load_changed) {
        state_.on_load_changed();
    }
}

// Recorded as soon as the head has arrived, because a stream continues for seconds after it.
void exchange::record_endpoint_statement() {
    if (attempt_.has_head || answer().is_misdirected) {
        return; // A misdirected answer comes from another instance.
    }
    attempt_.has_head = true;
    if (attempt_.is_forwarded()) {
        return; // The other host has recorded it.
    }
    owner_.record_statement(attempt_.chosen.endpoint, answer().statement, attempt_.sent_at, terms_.id);
}

// A cold endpoint is slow on any release.
std::string exchange::warm_endpoint(time_point now) const {
    const std::string& name = attempt_.chosen.endpoint.name;
    return state_.endpoints.allowance().cold().is_cold(name, now) ? std::string{} : name;
}

void exchange::record_first_byte() {
    if (attempt_.has_first_byte) {
        return;
    }
    attempt_.has_first_byte = true;
    const time_point now = monotonic_now();
    observe_first_event(now);
    if (attempt_.is_forwarded()) {
        return;
    }
    const duration took = now - attempt_.sent_at;
    // Compared with the reading time of the request's own prompt and not with the predicted time: a slow
    // release lengthens the predicted backlog of its endpoints, so that even 1.9 s instead of 0.1 s did not
    // count as slow.
    const double expected_ms = prompt_.is_empty() ? 0 : attempt_.chosen.reading_ms;
    if (state_.releases.on_first_byte_received(release_key(), {took, expected_ms, warm_endpoint(now)})) {
        attempt_.slowness = "first_event";
    }
    state_.endpoints.on_first_byte(attempt_.chosen);
    owner_.wake_waiting(service_);
    notify_load_changed();
    if (!attempt_.model.empty()) {
        const auto unread = static_cast<double>(attempt_.chosen.unread_tokens);
        state_.first_events.observe(
            attempt_.model, attempt_.model_rank,
            {unread, attempt_.chosen.backlog_ms, (to_ms(took) - fixed_latency_ms) / attempt_.chosen.pace});
        state_.measured.time("first_event_ms", took);
    }
}

// Decided at the first event and not at the head, because an endpoint may end between the two. An attempt
// that had been declined by then would not be there to show what the endpoint ended under.
bool exchange::accept_answer() {
    clear_parts();
    if (!is_good_enough(answer())) {
        min_model_size_ = attempt_.model_rank + 1;
        end_attempt(attempt_end::declined);
        return false;
    }
    attempt_.is_accepted = true;
    return true;
}

bool exchange::forward_events(std::string_view part) {
    if (!answer().has_receipt) {
        end_attempt(attempt_end::broken);
        return false;
    }
    confidence_ = answer().confidence.value_or(-1);
    if (!attempt_.is_accepted) {
        body_.append(part);
        if (first_event_.find_end(part) == 0) {
            return true;
        }
        if (!accept_answer()) {
            return false;
        }
        part = {}; // It is the end of what is held.
    }
    byte_blocks complete;
    const bool is_in_order = join_held_events(complete) && events_.feed(part, complete);
    // Also before a gap: the next run is asked to go on after them.
    write_events(std::move(complete));
    if (!is_in_order) {
        end_attempt(attempt_end::out_of_order);
    }
    return is_in_order;
}

void exchange::write_events(byte_blocks&& events) {
    if (events.empty()) {
        return;
    }
    record_first_byte();
    begin_stream_answer();
    record_forwarded_event();
    write_chunk(std::move(events));
    pause_for_caller();
}

// Releases what is held block by block, so that a long event is not held twice.
bool exchange::join_held_events(byte_blocks& complete) {
    while (!body_.empty()) {
        const std::string_view held = body_.front(1).front();
        if (!events_.feed(held, complete)) {
            return false;
        }
        body_.drop_front(held.size());
    }
    return true;
}

void exchange::on_caller_progress() {
    if (is_waiting_for_caller() && caller_->unsent_bytes() <= owner_.max_unsent_bytes_per_caller() / 2) {
        attempt_.heard_at = monotonic_now(); // The endpoint was not silent during the pause.
        connection_->resume_reading();
    }
}

void exchange::give_up_on_caller() {
    state_.measured.count("callers_too_slow");
    log_warning("caller_too_slow", {{"request", terms_.id},
                                    {"unsent_bytes", caller_->unsent_bytes()},
                                    {"remedy", "read the answer within the time limit of its route"}});
    settle_attempt(call_result::cancelled, release_evidence::none);
    release_connection(false);
    caller_->abort();
    finish("caller_too_slow", 0);
}

void exchange::record_forwarded_event() {
    const time_point now = monotonic_now();
    if (attempt_.first_events == 0) {
        attempt_.first_events = events_of_attempt();
        attempt_.first_event_at = now;
    }
    if (first_event_ms_ < 0) {
        first_event_ms_ = static_cast<int>(to_ms(now - arrived_at_));
    } else {
        longest_gap_ms_ = std::max(longest_gap_ms_, static_cast<int>(to_ms(now - last_event_at_)));
    }
    last_event_at_ = now;
    if (!attempt_.is_forwarded()) {
        state_.endpoints.on_event(attempt_.chosen, now - attempt_.sent_at);
    }
    record_pace(pace_baseline::measured_intervals);
}

void exchange::record_pace(std::int64_t min_intervals) {
    const std::int64_t intervals = events_of_attempt() - attempt_.first_events;
    if (attempt_.is_forwarded() || attempt_.is_paced || intervals < min_intervals) {
        return;
    }
    attempt_.is_paced = true;
    const duration elapsed = last_event_at_ - attempt_.first_event_at;
    record_endpoint_pace(elapsed, intervals);
    if (attempt_.has_waited() || attempt_.is_slow()) {
        return; // A caller that reads slowly delays the events, too.
    }
    if (state_.releases.on_stream_paced(release_key(), {attempt_.model, elapsed, static_cast<int>(intervals),
                                                        warm_endpoint(last_event_at_)})) {
        attempt_.slowness = "pace";
    }
}

void exchange::record_endpoint_pace(duration elapsed, std::int64_t intervals) {
    if (!state_.settings.in_use.knows_pace || attempt_.has_waited() || intervals < min_intervals_for_pace ||
        warm_endpoint(last_event_at_).empty()) {
        return;
    }
    owner_.report_paces(state_.endpoints.pace().observe(attempt_.chosen.endpoint, attempt_.model,
                                                        to_ms(elapsed) / static_cast<double>(intervals),
                                                        last_event_at_));
}

// A stream that crawls shows it before it has made many events. Counted only then, the few streams of a trial
// that were sound had ended long before the others, and spoke for their release alone.
void exchange::record_overdue_pace(time_point now) {
    if (attempt_.is_forwarded() || attempt_.is_paced || attempt_.has_waited() || attempt_.is_slow() ||
        attempt_.first_events == 0) {
        return;
    }
    const std::int64_t begun = events_of_attempt() - attempt_.first_events + 1;
    const int intervals = std::max(pace_baseline::min_intervals, static_cast<int>(begun));
    const stream_pace pace{attempt_.model, now - attempt_.first_event_at, intervals, warm_endpoint(now)};
    if (state_.releases.is_slow_pace(service_, pace)) {
        attempt_.is_paced = true;
        attempt_.slowness = "pace";
        state_.releases.on_stream_paced(release_key(), pace);
    }
}

void exchange::begin_stream_answer() {
    if (has_begun_answer_) {
        return;
    }
    has_begun_answer_ = true;
    apply_event("begun");
    state_.measured.time("time_to_first_event_ms", monotonic_now() - arrived_at_);
    caller_->write(answer_head(reader_->status(), reader_->headers(), body_framing::chunks, 0));
}

// An endpoint that breaks off may close its connection in an orderly way, or end the chunks of its answer.
// Only an event that has not ended shows it, or, without a framing, that there is nothing of the body: no
// byte of a plain one, no event of a stream that the caller lacks.
bool exchange::is_broken_off() {
    constexpr int status_reset_content = 205; // has no body
    const bool ends_with_connection = reader_->ends_with_connection();
    if (!is_event_stream()) {
        const int status = reader_->status();
        return ends_with_connection && body_.empty() && !is_passed_on_ && status / status_class == 2 &&
               status != status_reset_content;
    }
    const bool is_inside_event = attempt_.is_accepted ? events_.has_partial_event() : !body_.empty();
    return is_inside_event || (ends_with_connection && !attempt_.has_first_byte);
}

void exchange::complete_stream() {
    begin_stream_answer();
    caller_->write(last_chunk);
    record_pace(pace_baseline::min_intervals);
    record_answer_time(monotonic_now());
    settle_attempt(call_result::answered, release_evidence::good);
    clear_suspicion();
    release_connection(true);
    const bool keeps = keeps_caller_connection();
    finish("served", reader_->status());
    caller_->finish(keeps);
}

void exchange::on_answer_complete() {
    if (attempt_.is_forwarded()) {
        on_forwarded_answer_complete();
    } else if (answer().is_misdirected) {
        // The intended instance is gone, so this does not count as an attempt but as an unreachable endpoint,
        // of which the number is limited.
        --attempts_;
        ++unreachable_endpoints_;
        end_attempt(attempt_end::misdirected);
    } else if (answer().is_not_run) {
        end_attempt(attempt_end::refused);
    } else if (reader_->status() >= first_server_error) {
        end_attempt(attempt_end::failed);
    } else if (is_broken_off() || lacks_receipt()) {
        end_attempt(attempt_end::broken);
    } else if (is_event_stream()) {
        complete_stream();
    } else if (has_begun_answer_ && !is_passed_on_) {
        end_attempt(attempt_end::unsuitable);
    } else {
        record_answer_time(monotonic_now());
        settle_attempt(call_result::answered, release_evidence::good);
        clear_suspicion();
        release_connection(true);
        send_complete_answer("served");
    }
}

void exchange::on_closed(connection_end end) {
    owner_.run_guarded(*this, [this, end] { end_with_connection(end); });
}

void exchange::end_with_connection(connection_end end) {
    auto self = shared_from_this();
    const bool is_orderly = end == connection_end::finished;
    if (is_orderly && reader_->has_head() && !is_stray_answer() && !is_broken_off() && reader_->finish()) {
        on_answer_complete();
        return;
    }
    if (may_have_ended_endpoint() && !attempt_.is_forwarded()) {
        owner_.end_confirmation_.probe_endpoint(attempt_.chosen.endpoint.address, make_suspected_end(),
                                                monotonic_now());
    }
    end_attempt(attempt_end::broken);
}

std::string exchange::answer_head(int status, const header_list& headers, body_framing framing,
                                  std::size_t length) const {
    std::string head = status_line(status);
    const hop_by_hop_fields hop_by_hop(headers);
    for (const header_field& field : headers.all()) {
        if (!hop_by_hop.contains(field.name) && !is_same_name(field.name, "Content-Length")) {
            append_header(head, field.name, field.value);
        }
    }
    if (framing == body_framing::chunks) {
        append_header(head, "Transfer-Encoding", "chunked");
    } else if (framing == body_framing::length) {
        append_header(head, "Content-Length", std::to_string(length));
    }
    if (!keeps_caller_connection()) {
        append_header(head, "Connection", "close");
    }
    return head + "\r\n";
}

bool exchange::keeps_caller_connection() const {
    return request_.keeps_alive && !state_.is_stopping;
}

// Guards against an answer that is written into the middle of another one. The callers of this function have
// to handle an answer that has begun; if one does not, the caller's connection is reset.
void exchange::send_complete_answer(const char* outcome) {
    if (!invariant("one_head_for_each_answer", !has_begun_answer_ || is_passed_on_, [&] {
            return json{{"request", terms_.id}, {"outcome", outcome}};
        })) {
        caller_->abort();
        finish("cut", 0);
        return;
    }
    if (std::string_view(outcome) == "served") {
        record_answer_size();
    }
    const bool keeps = keeps_caller_connection();
    if (!is_caller_gone_ && !is_passed_on_) {
        caller_->write(
            answer_head(reader_->status(), reader_->headers(), body_framing::length, body_.size()));
        if (request_.method != "HEAD") {
            caller_->write(std::move(body_));
        }
    }
    if (passes_in_chunks_) {
        caller_->write(last_chunk);
    }
    finish(outcome, reader_->status());
    caller_->finish(keeps);
}

void exchange::answer_failure(int status, const char* reason, const char* remedy, duration retry_after) {
    if (has_begun_answer_) {
        caller_->abort();
        finish("cut", 0);
        return;
    }
    const std::string body = to_json_text({{"error", reason}, {"remedy", remedy}, {"request_id", terms_.id}});
    header_list headers = state_.dialect.relay_answer_headers(terms_.id, retry_after);
    if (caller_->is_from_peer()) {
        state_.dialect.add_attempts(headers, attempts_);
    }
    caller_->write(answer_head(status, headers, body_framing::length, body.size()));
    if (request_.method != "HEAD") {
        caller_->write(body);
    }
    const bool keeps = keeps_caller_connection();
    finish(reason, status);
    caller_->finish(keeps);
}

} // namespace laurelhoist
