/** \file
 * Defines a steward's evidence that no later configuration has been accepted: its own reads of the
 * platform or, while the platform is unreachable, the answers of a majority of the stewards on the list.
 *
 * A change counts as accepted only when a majority of the stewards hold it. Any two majorities of one list
 * share a steward, so if a majority knows of no later revision, none has been accepted. This is a quorum
 * read of a number that only grows, not a consensus protocol: the stewards do not vote on changes here.
 */
#pragma once

#include "bundle/bundle.h"

#include <map>

namespace laurelhoist {

/** What one steward knows about the latest revision. */
class revision_evidence {
public:
    explicit revision_evidence(std::string own_incarnation) : own_incarnation_{std::move(own_incarnation)} {}

    /** Notes that the platform returned \p revision as the latest. \param asked_at when the read was sent */
    void on_platform_read(time_point asked_at, std::int64_t revision);
    /** Notes that another steward answered that it holds \p revision.
     * \param incarnation of that steward; an answer of an earlier process does not count
     * \param asked_at when the question was sent */
    void on_peer_answer(const std::string& incarnation, time_point asked_at, std::int64_t revision);

    /** \return the latest time at which \p held is known to have been the latest revision, or nothing if
     * a later one is known or there is no evidence.
     * \param list the stewards listed in the fleet head that this steward holds */
    std::optional<time_point> confirmed_as_of(time_point now, std::int64_t held,
                                              const std::vector<steward_record>& list) const;
    /** \return how many stewards on \p list hold \p revision or a later one, this one included. */
    std::size_t holders(std::int64_t revision, std::int64_t own_revision,
                        const std::vector<steward_record>& list) const;
    std::int64_t known_revision() const { return known_revision_; }

private:
    struct peer_answer {
        time_point asked_at;
        std::int64_t revision = 0;
    };
    std::optional<time_point> majority_as_of(time_point now, const std::vector<steward_record>& list) const;

    std::string own_incarnation_;
    std::optional<time_point> platform_as_of_;
    std::map<std::string, peer_answer> peers_;
    std::int64_t known_revision_ = 0;
};

/** \return how many of \p count make a majority. */
constexpr std::size_t majority_of(std::size_t count) {
    return count / 2 + 1;
}

} // namespace laurelhoist
