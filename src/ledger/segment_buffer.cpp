#include "ledger/segment_buffer.h"

namespace laurelhoist {

namespace {
/// Above this size, the set of recently drained keys is cleared.
constexpr std::size_t max_remembered_keys = 20000;
} // namespace

bool segment_buffer::add(const bill_record& record) {
    const bill_key key = key_of(record);
    if (recently_drained_.count(key) > 0 || waiting_.count(key) > 0) {
        return true;
    }
    if (waiting() >= max_waiting_records) {
        return false;
    }
    waiting_.emplace(key, record);
    return true;
}

std::optional<ledger_segment> segment_buffer::current() {
    if (sealed_ || waiting_.empty()) {
        return sealed_;
    }
    ledger_segment segment;
    segment.name = "ledger/" + incarnation_ + "/" + std::to_string(next_number_++);
    while (!waiting_.empty() && segment.records.size() < max_segment_records) {
        segment.records.push_back(waiting_.begin()->second);
        waiting_.erase(waiting_.begin());
    }
    sealed_ = std::move(segment);
    return sealed_;
}

std::vector<bill_record> segment_buffer::on_written(const std::string& name) {
    std::vector<bill_record> drained;
    if (!sealed_ || sealed_->name != name) {
        return drained;
    }
    if (recently_drained_.size() > max_remembered_keys) {
        recently_drained_.clear();
    }
    for (const bill_record& record : sealed_->records) {
        recently_drained_.insert(key_of(record));
    }
    drained = std::move(sealed_->records);
    sealed_.reset();
    return drained;
}

} // namespace laurelhoist
