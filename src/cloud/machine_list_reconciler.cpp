#include "cloud/machine_list_reconciler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::cloud {

namespace {
constexpr auto list_period = seconds(3);
/// Maximum share of the rate budget that is spent on lists. Lists of large fleets have many pages;
/// the other half of the budget is left for rentals and returns.
constexpr double list_budget_share = 0.5;
const char* const first_page_target = "/rentals?most=500";
/// Added to twice the list lag: a machine that is absent from lists for longer has terminated.
constexpr auto absence_margin = seconds(2);
/// Added to twice the minimum absence for a rented machine that was never listed, because it may
/// only be late to appear.
constexpr auto never_listed_margin = seconds(10);
}  // namespace

machine_list_reconciler::machine_list_reconciler(cloud_client& client, machine_table& machines,
                                                 release_queue& releases, duration list_lag,
                                                 const inventory_hooks& hooks)
    : client_(client),
      machines_(machines),
      releases_(releases),
      min_absence_(list_lag * 2 + absence_margin),
      hooks_(hooks) {}

void machine_list_reconciler::read_if_due() {
  if (is_page_due() && client_.try_acquire()) read_page();
}

/// Reports whether to request a page: the first page of a list that is due, or the next page of a
/// list whose reading stopped because the rate budget was exhausted.
bool machine_list_reconciler::is_page_due() const {
  return listing_ ? !listing_->in_flight : client_.now() >= next_list_;
}

duration machine_list_reconciler::list_interval(std::size_t page_count) const {
  const duration budget_interval =
      from_seconds(static_cast<double>(page_count) / (client_.call_rate() * list_budget_share));
  return std::max<duration>(list_period, budget_interval);
}

void machine_list_reconciler::read_page() {
  if (!listing_) {
    listing_ = listing{};
    listing_->started = client_.now();
  }
  listing_->in_flight = true;
  ++listing_->page_count;
  std::string target = first_page_target;
  if (!listing_->last_name.empty()) target += "&from=" + listing_->last_name.str();
  client_.call({"GET", target, ""},
               [this](const net::response& response) { handle_page_response(response); });
}

void machine_list_reconciler::handle_page_response(const net::response& response) {
  listing_->in_flight = false;
  const auto page = response.status == 200 ? decode_machine_page(response.body) : std::nullopt;
  if (!page) {
    if (response.status == 200) spdlog::error("cloud_response_malformed response=machine_list");
    next_list_ = listing_->started + list_period;
    listing_.reset();
    client_.pause_after_failure();
    return;
  }
  for (const auto& listed : page->machines) reconcile(listed);
  if (!page->has_more || page->machines.empty()) return complete_list();
  // Each further page takes a call from the rate budget, too. If the budget is exhausted,
  // read_if_due() continues later. If reading were abandoned instead, the list of a fleet of
  // thousands of machines would never be read completely.
  listing_->last_name = page->machines.back().name;
  if (client_.try_acquire()) read_page();
}

void machine_list_reconciler::reconcile(const listed_machine& listed) {
  const time_point now = client_.now();
  listing_->seen.insert(listed.name);
  if (machines_.was_removed(listed.name)) return;
  machine& entry = machines_.find_or_add(listed.name, now - listed.age).entry;
  entry.pool = listed.pool;
  entry.ever_listed = true;
  entry.missing_since = {};
  if (entry.status == machine_status::failed) return;
  if (listed.status == machine_status::failed) return mark_failed(entry);
  // A heartbeat proves that the machine is running, even if the list still shows it as starting.
  if (entry.reported_in_term) return;
  entry.status = listed.status;
  if (entry.status == machine_status::running && entry.running_since == time_point{})
    entry.running_since = now;
}

void machine_list_reconciler::mark_failed(machine& entry) {
  entry.status = machine_status::failed;
  spdlog::info("machine_failed machine={}", entry.name);
  hooks_.machine_terminated(entry.name, termination_evidence::listed_as_failed);
  releases_.add(entry.name, release_reason::failed);
}

/// Reports whether the machine has been absent from lists for long enough to have terminated.
///
/// The cloud lists a machine until it terminates, but a list may be up to twice the list lag old,
/// and older than the previous list. Only a longer absence is proof. It is measured between the
/// times when reading of the lists began, because a page may be read long before its list is
/// complete.
bool machine_list_reconciler::is_proven_terminated(const machine& entry) const {
  const duration absence = listing_->started - entry.missing_since;
  if (entry.ever_listed) return absence > min_absence_;
  return absence > min_absence_ * 2 + never_listed_margin && !entry.reported_in_term;
}

void machine_list_reconciler::complete_list() {
  next_list_ = listing_->started + list_interval(listing_->page_count);
  std::vector<machine_name> terminated;
  for (auto& [name, entry] : machines_.all()) {
    if (listing_->seen.count(name) != 0) continue;
    if (entry.missing_since == time_point{}) entry.missing_since = listing_->started;
    if (is_proven_terminated(entry)) terminated.push_back(name);
  }
  for (const auto& name : terminated) {
    spdlog::info("machine_delisted machine={}", name);
    const bool was_listed = machines_.find(name)->ever_listed;
    machines_.remove(name, client_.now());
    if (was_listed) hooks_.machine_terminated(name, termination_evidence::no_longer_listed);
  }
  listing_.reset();
  hooks_.changed();
}

}  // namespace gingerdrift::cloud
