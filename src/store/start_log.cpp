#include "store/start_log.hpp"

#include <charconv>
#include <stdexcept>

namespace gingerdrift::store {

const char* const log_prefix = "gd/log/";

namespace {
constexpr std::size_t entry_overhead = 48;  // numbers, quotes and commas
/// Keys that are written. The version in production reads no more, and attempts in a key that a
/// successor passes over would be started twice: starts wait where all of them are full.
constexpr std::size_t most_slots = 1000;
/// Keys that are read, so that a later version may write more.
constexpr std::size_t most_read_slots = 100000;

std::size_t size_of(const start_entry& one) {
  return one.job.size() + one.machine.size() + entry_overhead;
}
std::string key_of(std::size_t slot) { return log_prefix + std::to_string(slot); }
}  // namespace

void start_log::add(start_entry one) { fresh_.push_back(std::move(one)); }

std::size_t start_log::size(const std::vector<start_entry>& entries) const {
  std::size_t sum = 0;
  for (const auto& one : entries) sum += size_of(one);
  return sum;
}

/// The open slot for as long as it has room, then the one with the most.
std::optional<std::size_t> start_log::choose(const absorbed_fn& absorbed) {
  const std::size_t wanted = size_of(fresh_.front());
  std::size_t best = slots_.size();
  std::size_t least = value_bytes_;
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    std::erase_if(slots_[i].entries, absorbed);
    const std::size_t taken = size(slots_[i].entries);
    if (i == open_ && taken + wanted <= value_bytes_) return i;
    if (taken < least) {
      best = i;
      least = taken;
    }
  }
  const bool has_room = best != slots_.size() && least + wanted <= value_bytes_;
  if (has_room) return best;
  if (slots_.size() >= most_slots) return std::nullopt;
  slots_.emplace_back();
  return slots_.size() - 1;
}

void start_log::prepare(const absorbed_fn& absorbed, std::vector<condition>& conditions,
                        std::vector<operation>& operations) {
  std::erase_if(fresh_, absorbed);
  if (fresh_.empty()) return;
  const auto chosen = choose(absorbed);
  if (!chosen) return;
  open_ = *chosen;
  slot& mine = slots_[open_];
  std::size_t taken = size(mine.entries);
  std::size_t count = 0;
  while (count < fresh_.size() && (count == 0 || taken + size_of(fresh_[count]) <= value_bytes_))
    taken += size_of(fresh_[count++]);
  prepared_bytes_ = taken;
  in_flight_.assign(std::make_move_iterator(fresh_.begin()),
                    std::make_move_iterator(fresh_.begin() + static_cast<std::ptrdiff_t>(count)));
  fresh_.erase(fresh_.begin(), fresh_.begin() + static_cast<std::ptrdiff_t>(count));
  json list = json::array();
  for (const auto* part : {&mine.entries, &in_flight_}) {
    for (const auto& one : *part)
      list.push_back(
          {one.job, one.task, one.number, one.machine, one.session, one.unit, one.change});
  }
  conditions.push_back({key_of(open_), mine.version});
  operations.push_back({key_of(open_), {{"starts", std::move(list)}}, 0, false});
}

std::vector<start_entry> start_log::written(std::uint64_t revision) {
  if (in_flight_.empty()) return {};
  slot& mine = slots_[open_];
  mine.version = revision;
  mine.entries.insert(mine.entries.end(), in_flight_.begin(), in_flight_.end());
  return std::exchange(in_flight_, {});
}

void start_log::failed() {
  fresh_.insert(fresh_.begin(), in_flight_.begin(), in_flight_.end());
  in_flight_.clear();
}

void start_log::learn(const std::string& key, std::uint64_t version) {
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    if (key_of(i) == key) slots_[i].version = version;
  }
}

std::vector<start_entry> start_log::read(const entry& found) {
  const std::string number = found.key.substr(std::string(log_prefix).size());
  std::size_t index = 0;
  const char* last = number.data() + number.size();
  const auto parsed = std::from_chars(number.data(), last, index);
  if (parsed.ec != std::errc() || parsed.ptr != last || index >= most_read_slots)
    throw std::invalid_argument("log key");
  std::vector<start_entry> out;
  for (const auto& item : found.value.at("starts")) {
    start_entry one;
    one.job = item.at(0).get<std::string>();
    one.task = item.at(1).get<std::uint32_t>();
    one.number = item.at(2).get<std::uint64_t>();
    one.machine = item.at(3).get<std::string>();
    one.session = item.at(4).get<std::uint64_t>();
    one.unit = item.at(5).get<std::size_t>();
    one.change = item.at(6).get<std::uint64_t>();
    out.push_back(std::move(one));
  }
  if (slots_.size() <= index) slots_.resize(index + 1);
  slots_[index].version = found.version;
  slots_[index].entries = out;
  return out;
}

}  // namespace gingerdrift::store
