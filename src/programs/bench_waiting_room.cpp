#include "programs/bench_waiting_room.h"

#include "routing/routing.h"

#include <chrono>
#include <iostream>

namespace laurelhoist {

namespace {

constexpr int teams = 200;
constexpr int priorities = 4;

double ns_since(std::chrono::steady_clock::time_point start, int operations) {
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - start;
    return took.count() / operations;
}

waiting_request make_request(int number) {
    const time_point due{seconds(100) + milliseconds(number * 7919 % 4000)};
    return {"request-" + std::to_string(number), "team-" + std::to_string(number % teams),
            number % priorities, due, due + seconds(10)};
}

void print_costs(int waiting) {
    const time_point now{seconds(100)};
    waiting_room room;
    const auto before_pushes = std::chrono::steady_clock::now();
    for (int i = 0; i < waiting; ++i) {
        room.push(make_request(i), now);
    }
    const double push_ns = ns_since(before_pushes, waiting);
    const auto before_pops = std::chrono::steady_clock::now();
    const int popped = waiting / 2; // At half the number and above, the room is about as full.
    for (int i = 0; i < popped; ++i) {
        (void)room.pop(now + milliseconds(i % 2000), {});
    }
    std::cout << waiting << ',' << push_ns << ',' << ns_since(before_pops, popped) << '\n';
}

} // namespace

void print_waiting_room_costs() {
    std::cout << "waiting,push_ns,pop_ns\n";
    for (const int waiting : {1000, 10000, 100000}) {
        print_costs(waiting);
    }
}

} // namespace laurelhoist
