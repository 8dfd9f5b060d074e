#include "job_store/placement_log.hpp"

#include <charconv>
#include <iterator>
#include <utility>

#include "job_store/record_fields.hpp"
#include "job_store/record_reader.hpp"

namespace gingerdrift::job_store {

namespace {

using json = nlohmann::json;

constexpr std::size_t entry_overhead_bytes = 48;  // numbers, quotes and commas
/// Maximum number of keys that are written. The version in production reads no more keys, and
/// attempts in a key that a successor ignores would be started twice. Placements wait while all of
/// these keys are full.
constexpr std::size_t max_written_slots = 1000;
/// Maximum number of keys that are read. It is larger so that a later version may write more keys.
constexpr std::size_t max_readable_slots = 100000;

std::size_t size_of(const placement& placement) {
  return placement.job.str().size() + placement.machine.str().size() + entry_overhead_bytes;
}

std::size_t size_of(const std::vector<placement>& placements) {
  std::size_t bytes = 0;
  for (const auto& placement : placements) bytes += size_of(placement);
  return bytes;
}

json encode(const placement& placement) {
  return {placement.job.str(),
          placement.task,
          placement.number.value(),
          placement.machine.str(),
          placement.incarnation.value(),
          placement.unit,
          placement.change};
}

placement decode(const json& item) {
  placement decoded;
  decoded.job = job_id(element<std::string>(item, field::placements, 0));
  decoded.task = element<std::uint32_t>(item, field::placements, 1);
  decoded.number = attempt_number(element<std::uint64_t>(item, field::placements, 2));
  decoded.machine = machine_name(element<std::string>(item, field::placements, 3));
  decoded.incarnation = worker_incarnation(element<std::uint64_t>(item, field::placements, 4));
  decoded.unit = element<std::size_t>(item, field::placements, 5);
  decoded.change = element<std::uint64_t>(item, field::placements, 6);
  return decoded;
}

std::size_t slot_of_key(const std::string& key) {
  const std::string number = key.substr(std::string(log_prefix).size());
  std::size_t slot = 0;
  const char* last = number.data() + number.size();
  const auto parsed = std::from_chars(number.data(), last, slot);
  if (parsed.ec != std::errc() || parsed.ptr != last || slot >= max_readable_slots)
    throw record_error({}, "not a key of the placement log");
  return slot;
}

}  // namespace

void placement_log::add(placement placement) { pending_.push_back(std::move(placement)); }

/// Returns the current slot while it has room, otherwise the slot with the most room, or a new
/// slot. Removes superseded entries from the slots on the way.
std::optional<std::size_t> placement_log::choose_slot(const is_superseded_fn& is_superseded) {
  const std::size_t needed = size_of(pending_.front());
  std::size_t least_used = slots_.size();
  std::size_t least_used_bytes = value_bytes_;
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    std::erase_if(slots_[i].entries, is_superseded);
    const std::size_t used = size_of(slots_[i].entries);
    if (i == current_slot_ && used + needed <= value_bytes_) return i;
    if (used < least_used_bytes) {
      least_used = i;
      least_used_bytes = used;
    }
  }
  const bool fits_least_used =
      least_used != slots_.size() && least_used_bytes + needed <= value_bytes_;
  if (fits_least_used) return least_used;
  if (slots_.size() >= max_written_slots) return std::nullopt;
  slots_.emplace_back();
  return slots_.size() - 1;
}

void placement_log::fill_current_slot() {
  std::size_t used = size_of(slots_[current_slot_].entries);
  auto last = pending_.begin();
  while (last != pending_.end() &&
         (last == pending_.begin() || used + size_of(*last) <= value_bytes_)) {
    used += size_of(*last);
    ++last;
  }
  prepared_bytes_ = used;
  in_flight_.assign(std::make_move_iterator(pending_.begin()), std::make_move_iterator(last));
  pending_.erase(pending_.begin(), last);
}

std::optional<placement_log::log_write> placement_log::prepare(
    const is_superseded_fn& is_superseded) {
  std::erase_if(pending_, is_superseded);
  if (pending_.empty()) return std::nullopt;
  const auto chosen = choose_slot(is_superseded);
  if (!chosen) return std::nullopt;
  current_slot_ = *chosen;
  fill_current_slot();
  const slot& current = slots_[current_slot_];
  json list = json::array();
  for (const auto* placements : {&current.entries, &std::as_const(in_flight_)}) {
    for (const auto& placement : *placements) list.push_back(encode(placement));
  }
  const std::string key = log_key(current_slot_);
  json value = {{field::placements, std::move(list)}};
  return log_write{.condition = {key, current.version},
                   .operation = kvstore::operation::put(key, std::move(value))};
}

std::vector<placement> placement_log::acknowledge(store_revision revision) {
  if (in_flight_.empty()) return {};
  slot& current = slots_[current_slot_];
  current.version = revision;
  current.entries.insert(current.entries.end(), in_flight_.begin(), in_flight_.end());
  return std::exchange(in_flight_, {});
}

void placement_log::requeue() {
  pending_.insert(pending_.begin(), in_flight_.begin(), in_flight_.end());
  in_flight_.clear();
}

void placement_log::set_version(const std::string& key, store_revision version) {
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    if (log_key(i) == key) slots_[i].version = version;
  }
}

std::vector<placement> placement_log::load(const kvstore::entry& stored) {
  const std::size_t index = slot_of_key(stored.key);
  std::vector<placement> placements;
  for (const auto& item : required_field(stored.value, field::placements))
    placements.push_back(decode(item));
  if (slots_.size() <= index) slots_.resize(index + 1);
  slots_[index].version = stored.version;
  slots_[index].entries = placements;
  return placements;
}

}  // namespace gingerdrift::job_store
