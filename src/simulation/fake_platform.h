/** \file
 * Defines a fake of the platform's object API under the virtual clock.
 */
#pragma once

#include "node/node.h"
#include "simulation/virtual_clock.h"

namespace laurelhoist {

/** The faults that the platform shows. */
struct platform_faults {
    bool is_down = false;
    duration delay = milliseconds(3);
    double lost_answers = 0.0; ///< share of writes that take effect but get no answer
    /// Share of writes that take effect late, by 4 s on average. After 2 s the caller is told that the result
    /// is unknown.
    double late_writes = 0.0;
};

class fake_platform {
public:
    using reply_handler = std::function<void(const platform_reply&)>;

    fake_platform(virtual_clock& clock, std::uint64_t seed) : clock_{clock}, random_{seed} {}

    void call(const platform_request& request, reply_handler on_answer);
    void put(const std::string& key, const json& value) { objects_[key] = {key, ++version_, value}; }
    /** \return the object under \p key, or null. */
    const platform_object* find(const std::string& key) const;
    std::vector<platform_object> list(const std::string& prefix) const;

    platform_faults faults;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;

private:
    platform_reply apply(const platform_request& request);
    void write(const platform_request& request, const reply_handler& on_answer);

    virtual_clock& clock_;
    random_source random_;
    std::map<std::string, platform_object> objects_;
    std::int64_t version_ = 0;
};

} // namespace laurelhoist
