/** \file
 * Defines the estimates of answer quality that an entry learns from ratings, by version, team and kind of
 * request.
 */
#pragma once

#include "bundle/bundle.h"

namespace laurelhoist {

/** Estimates the probability that an answer meets the team's score.
 *
 * Each estimate is the mean of a beta distribution. The prior of a version is the quality that was signed
 * off; the prior of a team and kind is the version's estimate, so that a kind with few ratings is taken to be
 * like the version's other traffic rather than like the signed-off figure. Old ratings decay exponentially,
 * so that a change in a version's quality shows. Answers after a step up have estimates of their own: the
 * requests that a cheaper version has failed are harder than the average. */
class quality_estimator {
public:
    /** What one estimate is about. */
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

    /** Records whether an answer met the score. */
    void observe(const subject& about, bool met, double prior);
    /** \return the estimated probability that the next answer meets the score. */
    double chance(const subject& about, double prior) const;
    std::size_t size() const { return by_subject_.size(); }

private:
    /** Parameters of a beta distribution: decayed counts that include the prior's. */
    struct beta_counts {
        double met = 0;
        double missed = 0;
    };
    static beta_counts initial(double prior, double strength);
    static double mean(const beta_counts& counts) { return counts.met / (counts.met + counts.missed); }
    static void update(beta_counts& counts, bool met);
    /** \return the subject that stands for the version over all teams and kinds. */
    static subject version_subject(const subject& about);
    double version_chance(const subject& about, double prior) const;

    std::map<subject, beta_counts> by_subject_;
    std::map<subject, beta_counts> by_version_;
};

/** Tracks how often a team's recent answers, streams included, met its score. A stream cannot step up, so its
 * tier is chosen before it is known whether the cheap version suffices. While the team is above its target,
 * the margin lets streams start at a cheap version that mostly succeeds; otherwise each stream goes to a
 * version that meets the target without a step up. */
class quality_credit {
public:
    void observe(const std::string& team, bool met);
    /** \return the probability of meeting the score that a version needs to be chosen for a stream. */
    double stream_target(const std::string& team, double target) const;

private:
    /** Exponentially decayed counts of a team's answers. */
    struct record {
        double met = 0;
        double seen = 0;
    };
    std::map<std::string, record> by_team_;
};

} // namespace laurelhoist
