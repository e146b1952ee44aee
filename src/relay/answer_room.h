/** \file
 * Decides how much of an answer that is no stream a host holds before it passes the answer on as it arrives.
 */
#pragma once

#include <algorithm>
#include <cstddef>

namespace laurelhoist {

/** What a host holds of answers, in bytes. */
struct answer_holdings {
    std::size_t buffer_bytes = 0; ///< that answers may have together
    std::size_t held_bytes = 0;   ///< of answers that have not been passed on, the one in question included
    std::size_t own_bytes = 0;    ///< of the one in question
    std::size_t unsent_bytes = 0; ///< passed on, not yet taken by the network
    std::size_t unsent_share = 0; ///< what may be unsent without taking room from answers
};

/** \return what takes room from answers: those that are held, and what callers have not read beyond their
 * share. */
inline std::size_t bytes_beyond_shares(const answer_holdings& now) {
    return now.held_bytes + now.unsent_bytes - std::min(now.unsent_bytes, now.unsent_share);
}

/** \return the bytes of one answer that may be held: at most three quarters of what the others leave, so that
 * no caller takes all of the room, and never less than the smallest answers need. */
inline std::size_t room_for_answer(const answer_holdings& now) {
    constexpr std::size_t min_room_bytes = 16 << 10;
    constexpr std::size_t quarters_of_rest = 3;
    const std::size_t others = bytes_beyond_shares(now) - std::min(now.held_bytes, now.own_bytes);
    const std::size_t rest = now.buffer_bytes - std::min(now.buffer_bytes, others);
    return std::max(min_room_bytes, rest / 4 * quarters_of_rest);
}

/// Answers that are passed on as they arrive, beyond which no other long one is asked for: each occupies an
/// endpoint for as long as its caller reads.
constexpr std::size_t max_passed_on = 4;

/** \return whether a request may be sent on whose answer is expected to have \p expected_bytes, while
 * \p passed_on answers are passed on as they arrive. */
inline bool has_room_for_expected(std::size_t expected_bytes, const answer_holdings& now,
                                  std::size_t passed_on) {
    return expected_bytes <= room_for_answer(now) || passed_on < max_passed_on;
}

} // namespace laurelhoist
