/** \file
 * Bounds the requests that endpoints reject while they state that rejections can end them.
 *
 * An endpoint may state in its answers how many requests a second it can reject for want of room; one more
 * and its process ends. All endpoints of its pool then count as brittle, because a host may not have heard of
 * each. Every request that is sent and not answered yet may be rejected, so each endpoint has a number of
 * permits, fewer than the rejections that it bears: a host holds one from sending a request until its answer
 * begins, and for another second if it was rejected. In any second all hosts together then meet at most as
 * many rejections as there are permits, whatever the load and however late hosts hear of each other.
 *
 * The permits are divided evenly. With more hosts than permits, the endpoint has as many sponsors as permits,
 * and the other hosts send it nothing; a host without any permit in a pool forwards its requests to a
 * sponsor.
 */
#pragma once

#include "placement/sponsors.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace laurelhoist {

/** The brittle endpoints as one host knows them. No I/O; the time is an argument. */
class brittle_endpoints {
public:
    /** \param host name of this host */
    explicit brittle_endpoints(std::string host) : host_{std::move(host)} {}

    void update(const std::vector<endpoint_record>& endpoints);
    /** Takes the live hosts; to be called a few times a second. */
    void set_hosts(const host_view& view);

    /** Takes what an answer from \p pool states.
     * \param rejections_per_s rejections that one endpoint bears in a second; nothing: it is not brittle
     * \param sent_at when the request was sent */
    void note(const std::string& pool, std::optional<double> rejections_per_s, time_point sent_at,
              time_point now);
    bool is_brittle(const std::string& pool) const { return pools_.count(pool) > 0; }

    void on_sent(const std::string& endpoint) { ++uses_[endpoint].unanswered; }
    /** Records that the answer to a request has begun, or that the request has ended without one. */
    void on_answered(const std::string& endpoint);
    void on_rejected(const std::string& endpoint, time_point now);

    /** \return whether this host holds a free permit of \p endpoint, or, if it may wait, any at all. */
    bool may_send(const endpoint_record& endpoint, bool may_wait, time_point now) const;
    /** \return the hosts that may send to the brittle endpoints of \p pool, if this host is none of them. */
    const std::set<std::string>& sponsors_instead_of_this_host(const std::string& pool) const;

private:
    struct statement {
        double rejections_per_s = 0;
        time_point heard_at;
    };
    struct endpoint_use {
        int unanswered = 0;
        std::deque<time_point> rejected_at; ///< of the last second
    };

    /** The division of a brittle pool's permits, renewed when the pool, its statement or the hosts change. */
    struct division {
        std::map<std::string, std::size_t> own; ///< permits that this host holds, by endpoint
        std::set<std::string> sponsors;         ///< hosts with permits if this one holds none
    };

    std::size_t permits_of(const std::string& pool) const;
    void divide(const std::string& pool);
    void divide_all();
    std::size_t even_share(std::size_t permits, std::size_t hosts) const;

    std::string host_;
    host_view view_;
    std::vector<endpoint_record> listed_;
    std::map<std::string, statement> pools_;    ///< the brittle ones
    std::map<std::string, division> divisions_; ///< of the brittle pools
    std::map<std::string, endpoint_use> uses_;  ///< by endpoint name
};

} // namespace laurelhoist
