/** \file
 * Defines what an entry has learned about the quality of each version for each team and kind of request.
 */
#pragma once

#include "bundle/bundle.h"

namespace laurelhoist {

/** Chances, learned from ratings, that an answer meets the team's score.
 *
 * Each is a beta distribution. That of a version as a whole starts from the signed-off prior; that of a
 * team and kind starts from the version's, so that a kind with few ratings is believed to be like the rest
 * and not like the signature. Both forget old ratings slowly, so that a version whose quality changes is
 * noticed. Answers after a step up are learned apart: what defeated the cheap model is harder than the
 * average request. */
class quality_estimator {
public:
    struct subject {
        std::string team;
        std::string kind;
        version_name version;
        bool after_step_up = false;
        friend bool operator<(const subject& left, const subject& right) {
            return std::tie(left.team, left.kind, left.version, left.after_step_up) <
                   std::tie(right.team, right.kind, right.version, right.after_step_up);
        }
    };

    /** Notes that an answer met the score or did not. */
    void observe(const subject& about, bool met, double prior);
    /** \return the chance that the next answer meets the score. */
    double chance(const subject& about, double prior) const;
    std::size_t size() const { return by_subject_.size(); }

private:
    struct beta_counts {
        double met = 0;
        double missed = 0;
    };
    static beta_counts initial(double prior, double strength);
    static double mean(const beta_counts& counts) { return counts.met / (counts.met + counts.missed); }
    static void update(beta_counts& counts, bool met);
    /** \return the version as a whole, over teams and kinds. */
    static subject version_subject(const subject& about);
    double version_chance(const subject& about, double prior) const;

    std::map<subject, beta_counts> by_subject_;
    std::map<subject, beta_counts> by_version_;
};

/** How well a team has been served lately, over whole answers and streams. A stream cannot step up, so its
 * tier is chosen before it is known whether the cheap version suffices. Where the team's share is above its
 * target, part of what is above may be spent on cheap streams of kinds that mostly succeed; where it is not,
 * every stream goes to a version that meets the target alone. */
class quality_credit {
public:
    void observe(const std::string& team, bool met);
    /** \return the share of answers that a version must meet alone to be taken for a stream. */
    double stream_target(const std::string& team, double target) const;

private:
    struct record {
        double met = 0;
        double seen = 0;
    };
    std::map<std::string, record> by_team_;
};

} // namespace laurelhoist
