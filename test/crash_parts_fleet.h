/** \file
 * Defines a simulation of hosts and engines in which one part of the prompts, or several, end each engine
 * that begins to answer a request with it. Times are in ms.
 */
#pragma once

#include "recovery/recovery.h"

#include "virtual_schedule.h"

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace laurelhoist {

/** The load and the trouble of one simulated day. */
struct parts_day {
    unsigned seed = 0;
    std::size_t hosts = 7;
    std::size_t crashing_parts = 1; ///< parts that end engines
    double crashing_per_s = 3;      ///< requests with one of these parts
    double sound_per_s = 40;        ///< requests of the same route that share its first part
    double other_ends_per_s = 0.2;  ///< engines that end for other reasons
    int max_attempts = 3;
    std::size_t messages_per_loss = 20;
    bool restarts_hosts = true;
    std::int64_t length_ms = 40'000;
    std::int64_t trouble_from_ms = 4000;
    double joint_share = 0;              ///< share of the engines that end in one moment, at joint_at_ms
    std::int64_t joint_at_ms = 12'000;   ///< meanwhile a third of the hosts is cut off from the others
    std::int64_t joint_delay_ms = 0;     ///< longest time in which a third of the hosts learns of an end
    std::int64_t max_first_event_ms = 5; ///< longest time from the beginning to the first event
    bool weighs_joint_ends = true;
};

/** What callers and endpoints saw on a simulated day. */
struct parts_report {
    std::vector<int> late_sends; ///< for each crashing part: sends later than the bound, by hosts in touch
    std::vector<int> ends;       ///< for each crashing part
    int sound_before = 0;        ///< sound requests of the route before the trouble
    int begun_before = 0;        ///< of these, begun at their first attempt
    int sound_after = 0;         ///< sound requests later than twice the time to notice after the fifth end
    int begun_after = 0;
    int refused = 0;          ///< sound requests refused because a part of theirs is quarantined
    std::int64_t notices = 0; ///< notices received by all hosts

    int worst_late_sends() const { return *std::max_element(late_sends.begin(), late_sends.end()); }
    /** \return whether sound requests begin at least half as often as before, where there are enough. */
    bool serves_sound_requests() const {
        constexpr int enough = 20;
        return sound_before < enough || sound_after < enough ||
               std::int64_t{2} * begun_after * sound_before >= std::int64_t{begun_before} * sound_after;
    }
};

/** A request of the simulation. The last part of its prompt is its own. */
struct simulated_request {
    request_digest digest = 0;
    std::vector<std::string> parts;
    int crashing_part = -1; ///< index of the part that ends engines; -1: sound
};

/** Hosts that send requests to engines and tell one another of ends and of answers that began. */
class crash_parts_fleet {
public:
    explicit crash_parts_fleet(const parts_day& day)
        : day_{day}, random_{day.seed}, engines_(6 + day.hosts / 2), ends_at_(day.crashing_parts) {
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            engines_[i].name = "e" + std::to_string(i);
            start(engines_[i]);
        }
        report_.late_sends.assign(day.crashing_parts, 0);
        report_.ends.assign(day.crashing_parts, 0);
        for (std::size_t i = 0; i < day.hosts; ++i) {
            names_.push_back("h" + std::to_string(i));
        }
        for (const std::string& name : names_) {
            hosts_.emplace_back(name, day_.weighs_joint_ends);
            hosts_.back().set_hosts(names_, true);
            started_.push_back(-10'000);
        }
    }

    parts_report play() {
        schedule_.after(0, [this] { arrive_sound(); });
        schedule_.after(day_.trouble_from_ms, [this] { arrive_crashing(); });
        schedule_.after(0, [this] { gossip(); });
        if (day_.other_ends_per_s > 0) {
            schedule_.after(interval(day_.other_ends_per_s), [this] { end_any(); });
        }
        if (day_.restarts_hosts) {
            schedule_.after(3000, [this] { restart_any(); });
        }
        if (day_.joint_share > 0) {
            schedule_.after(day_.joint_at_ms, [this] { end_jointly(); });
            for (std::size_t host = 0; host < hosts_.size(); ++host) {
                schedule_.after(0, [this, host] { read_list(host); });
            }
        }
        schedule_.run(day_.length_ms);
        return report_;
    }

private:
    static constexpr std::int64_t time_to_notice_ms = 3000;
    static constexpr std::size_t ends_to_notice = 5;
    static constexpr std::size_t small_fleet = 10;
    static constexpr std::size_t subjects = 20;

    struct attempt {
        simulated_request request;
        std::size_t host = 0;
        int number = 0;
        std::int64_t sent_at = 0;
        bool is_trial = false;
        bool is_over = false; ///< an event arrived, or it was given up
    };
    using shared_attempt = std::shared_ptr<attempt>;
    struct engine {
        std::string name;
        std::int64_t started_at = 0;
        std::uint32_t process = 0;
        bool is_up = true;
        std::int64_t free_at = 0;
        std::vector<shared_attempt> unanswered;
    };

    static time_point at_ms(std::int64_t ms) { return time_point{seconds(1000)} + milliseconds(ms); }
    time_point now() const { return at_ms(schedule_.now()); }
    std::size_t below(std::size_t bound) { return random_() % bound; }
    std::int64_t between(std::int64_t low, std::int64_t high) {
        return low + static_cast<std::int64_t>(below(static_cast<std::size_t>(high - low + 1)));
    }
    std::int64_t interval(double per_s) {
        const double ms = std::exponential_distribution<double>(per_s / 1000)(random_);
        return std::max<std::int64_t>(1, static_cast<std::int64_t>(ms));
    }
    void arrive_sound() {
        schedule_.after(interval(day_.sound_per_s), [this] { arrive_sound(); });
        const bool is_other_route = below(3) == 0;
        simulated_request request{++digests_, {is_other_route ? "b0" : "a0", subject(), own_part()}, -1};
        const bool is_counted_after = !is_other_route && is_after_notice(2 * time_to_notice_ms);
        const bool is_counted_before = !is_other_route && schedule_.now() < day_.trouble_from_ms;
        report_.sound_before += is_counted_before ? 1 : 0;
        report_.sound_after += is_counted_after ? 1 : 0;
        begins_.push_back(is_counted_before  ? &report_.begun_before
                          : is_counted_after ? &report_.begun_after
                                             : nullptr);
        send(std::move(request), below(hosts_.size()), 1);
    }

    // A request with a crashing part has the route's other parts, in any order but for its own last part.
    void arrive_crashing() {
        schedule_.after(interval(day_.crashing_per_s), [this] { arrive_crashing(); });
        const std::size_t which = below(day_.crashing_parts);
        simulated_request request{++digests_, {"a0", subject(), own_part()}, static_cast<int>(which)};
        const auto at = static_cast<std::ptrdiff_t>(which % 3);
        request.parts.insert(request.parts.begin() + at, "dead" + std::to_string(which));
        begins_.push_back(nullptr);
        send(std::move(request), below(hosts_.size()), 1);
    }

    std::string subject() { return "subject" + std::to_string(below(subjects)); }
    std::string own_part() const { return "own" + std::to_string(digests_); }

    bool is_after_notice(std::int64_t delay) const {
        return std::all_of(ends_at_.begin(), ends_at_.end(), [&](const std::vector<std::int64_t>& ends) {
            return ends.size() >= ends_to_notice && schedule_.now() > ends[ends_to_notice - 1] + delay;
        });
    }

    void send(simulated_request request, std::size_t host, int number) {
        crash_quarantine& quarantine = hosts_[host];
        if (!may_send(quarantine, request)) {
            report_.refused += request.crashing_part < 0 ? 1 : 0;
            return;
        }
        engine& chosen = engines_[below(engines_.size())];
        if (!chosen.is_up) {
            tell_refusal(host, chosen);
            schedule_.after(3, [this, request, host, number] { send(request, host, number); });
            return;
        }
        auto sent = std::make_shared<attempt>(
            attempt{std::move(request), host, number, schedule_.now(), false, false});
        sent->is_trial = on_sent(quarantine, sent->request);
        count_send(*sent);
        chosen.unanswered.push_back(sent);
        chosen.free_at = std::max(chosen.free_at, schedule_.now()) + between(5, 25);
        const std::uint32_t process = chosen.process;
        engine* at = &chosen;
        schedule_.after(chosen.free_at - schedule_.now(),
                        [this, at, process, sent] { begin(*at, process, sent); });
    }

    void count_send(const attempt& sent) {
        const int part = sent.request.crashing_part;
        if (part < 0 || schedule_.now() - started_[sent.host] <= time_to_notice_ms) {
            return;
        }
        const std::vector<std::int64_t>& ends = ends_at_[static_cast<std::size_t>(part)];
        if (ends.size() >= ends_to_notice && schedule_.now() > ends[ends_to_notice - 1] + time_to_notice_ms) {
            ++report_.late_sends[static_cast<std::size_t>(part)];
        }
    }

    void begin(engine& at, std::uint32_t process, const shared_attempt& sent) {
        if (at.process != process || !at.is_up || sent->is_over) {
            return;
        }
        if (!sent->is_trial && is_quarantined(hosts_[sent->host], sent->request)) {
            sent->is_over = true; // Cancelled while it waited.
            return;
        }
        if (sent->request.crashing_part >= 0) {
            schedule_.after(between(40, 110), [this, &at, process, sent] {
                if (at.process == process && at.is_up) {
                    const auto part = static_cast<std::size_t>(sent->request.crashing_part);
                    ends_at_[part].push_back(schedule_.now());
                    ++report_.ends[part];
                    end(at);
                }
            });
            return;
        }
        const std::int64_t first_event_ms =
            day_.max_first_event_ms > 5 ? between(5, day_.max_first_event_ms) : 5;
        schedule_.after(first_event_ms, [this, &at, process, sent] {
            if (at.process == process && at.is_up && !sent->is_over) {
                answer_begins(at, sent);
            }
        });
    }

    void answer_begins(engine& at, const shared_attempt& sent) {
        sent->is_over = true;
        at.unanswered.erase(std::remove(at.unanswered.begin(), at.unanswered.end(), sent),
                            at.unanswered.end());
        if (sent->number == 1 && begins_[sent->request.digest - 1] != nullptr) {
            ++*begins_[sent->request.digest - 1];
        }
        on_begun(hosts_[sent->host], sent->request);
        announce(sent->host);
    }

    void end(engine& at) {
        const std::uint32_t process = at.process;
        at.is_up = false;
        const std::vector<shared_attempt> broken = std::move(at.unanswered);
        at.unanswered.clear();
        for (const shared_attempt& sent : broken) {
            if (sent->is_over) {
                continue;
            }
            sent->is_over = true;
            const bool is_slow = day_.joint_delay_ms > 0 && sent->host % 3 == 1;
            const std::int64_t delay = is_slow ? between(2, day_.joint_delay_ms) : between(2, 8);
            const std::int64_t ended_at = is_slow ? schedule_.now() + delay : schedule_.now();
            schedule_.after(delay, [this, sent, process, ended_at] {
                on_end(hosts_[sent->host], sent->request, {process, at_ms(sent->sent_at), at_ms(ended_at)});
                announce(sent->host);
                if (sent->number < day_.max_attempts) {
                    send(sent->request, sent->host, sent->number + 1);
                }
            });
        }
        schedule_.after(between(2500, 4000), [this, &at] {
            start(at);
            at.free_at = schedule_.now();
        });
    }

    void start(engine& at) {
        at.started_at = ++processes_;
        at.process = process_hash(at.name, at.started_at);
        at.is_up = true;
    }

    void end_jointly() {
        std::vector<engine*> up;
        for (engine& each : engines_) {
            if (each.is_up) {
                up.push_back(&each);
            }
        }
        std::shuffle(up.begin(), up.end(), random_);
        const auto count = static_cast<std::size_t>(day_.joint_share * static_cast<double>(engines_.size()));
        for (std::size_t i = 0; i < std::min(count, up.size()); ++i) {
            end(*up[i]);
        }
    }

    /** \return whether \p host is cut off from the others, which is so around the joint end. */
    bool is_cut_off(std::size_t host) const {
        return day_.joint_share > 0 && host % 3 == 0 && schedule_.now() > day_.joint_at_ms - 500 &&
               schedule_.now() < day_.joint_at_ms + 4000;
    }

    void read_list(std::size_t host) {
        schedule_.after(1000, [this, host] { read_list(host); });
        std::vector<endpoint_record> listed;
        for (const engine& each : engines_) {
            listed.push_back({each.name, "", "", "pool"});
            listed.back().started_at_ms = each.started_at;
        }
        hosts_[host].set_endpoints(listed, now());
    }

    void tell_refusal(std::size_t host, const engine& refusing) {
        if (day_.joint_share <= 0 || hosts_told_.count({host, refusing.process}) > 0) {
            return;
        }
        hosts_told_.insert({host, refusing.process});
        const time_point at = now();
        hosts_[host].on_refused(refusing.name, at, at);
        for (std::size_t to = 0; to < hosts_.size(); ++to) {
            if (to != host && !is_cut_off(host) && !is_cut_off(to) && below(day_.messages_per_loss) != 0) {
                schedule_.after(30 + between(1, 20),
                                [this, to, at, name = refusing.name, process = refusing.process] {
                                    hosts_told_.insert({to, process});
                                    hosts_[to].on_refused(name, at, now());
                                });
            }
        }
    }

    void end_any() {
        schedule_.after(interval(day_.other_ends_per_s), [this] { end_any(); });
        engine& chosen = engines_[below(engines_.size())];
        if (chosen.is_up) {
            end(chosen);
        }
    }

    void restart_any() {
        schedule_.after(7000, [this] { restart_any(); });
        const std::size_t host = below(hosts_.size());
        hosts_[host] = crash_quarantine(names_[host], day_.weighs_joint_ends);
        hosts_[host].set_hosts(names_, true);
        started_[host] = schedule_.now();
        deliver(host, hosts_[(host + 1) % hosts_.size()].known(8, now()));
    }

    void gossip() {
        schedule_.after(400, [this] { gossip(); });
        for (std::size_t from = 0; from < hosts_.size(); ++from) {
            const std::size_t to = below(hosts_.size());
            if (!is_cut_off(from)) {
                deliver(to, hosts_[from].known(8, now()));
            }
        }
    }

    void deliver(std::size_t to, const std::vector<crash_notice>& notices) {
        if (notices.empty() || is_cut_off(to) || below(day_.messages_per_loss) == 0) {
            return;
        }
        report_.notices += static_cast<std::int64_t>(notices.size());
        schedule_.after(between(1, 20), [this, to, notices] {
            hosts_[to].merge(notices, now());
            announce(to);
        });
    }

    void announce(std::size_t from) {
        const crash_quarantine::pending_notices pending = hosts_[from].take_pending(now());
        if (pending.for_all.empty() && pending.for_trackers.empty()) {
            return;
        }
        std::vector<std::vector<crash_notice>> messages(hosts_.size(), pending.for_all);
        for (const crash_notice& notice : pending.for_trackers) {
            for (const std::size_t to : recipients_of(notice)) {
                messages[to].push_back(notice);
            }
        }
        for (std::size_t to = 0; to < hosts_.size(); ++to) {
            if (to != from && !is_cut_off(from)) {
                deliver(to, messages[to]);
            }
        }
    }

    std::vector<std::size_t> recipients_of(const crash_notice& notice) const {
        std::vector<std::size_t> recipients;
        const std::vector<std::string> trackers =
            names_.size() > small_fleet ? trackers_of(notice.digest, names_) : names_;
        for (const std::string& tracker : trackers) {
            recipients.push_back(std::stoul(tracker.substr(1)));
        }
        return recipients;
    }

    // The calls of the quarantine that the hosts make.
    static crash_causes causes_of(const simulated_request& request) {
        std::vector<part_digest> parts;
        for (std::size_t i = 0; i + 1 < request.parts.size(); ++i) {
            parts.push_back(digest_of_part(request.parts[i]));
        }
        return {request.digest, parts};
    }
    bool may_send(const crash_quarantine& host, const simulated_request& request) const {
        return host.may_send(causes_of(request), now());
    }
    bool on_sent(crash_quarantine& host, const simulated_request& request) {
        return host.on_sent(causes_of(request), now());
    }
    static bool is_quarantined(const crash_quarantine& host, const simulated_request& request) {
        return host.has_quarantined(causes_of(request));
    }
    void on_end(crash_quarantine& host, const simulated_request& request, const endpoint_end& end) {
        host.on_end(causes_of(request), end, now());
    }
    void on_begun(crash_quarantine& host, const simulated_request& request) {
        host.on_begun(causes_of(request).parts, now());
    }

    parts_day day_;
    std::mt19937 random_;
    std::vector<std::string> names_;
    std::vector<crash_quarantine> hosts_;
    std::vector<std::int64_t> started_;
    std::vector<engine> engines_;
    std::vector<std::vector<std::int64_t>> ends_at_; ///< of each crashing part
    std::vector<int*> begins_; ///< by request: the counter of answers that began at the first attempt
    virtual_schedule schedule_;
    std::uint64_t digests_ = 0;
    std::uint32_t processes_ = 0;
    std::set<std::pair<std::size_t, std::uint32_t>> hosts_told_; ///< of the refusals of a process
    parts_report report_;
};

} // namespace laurelhoist
