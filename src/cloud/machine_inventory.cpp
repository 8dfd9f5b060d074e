#include "cloud/machine_inventory.hpp"

#include <spdlog/spdlog.h>

namespace gingerdrift::cloud {

namespace {
constexpr auto tick_period = milliseconds(250);
}  // namespace

machine_inventory::machine_inventory(net::runtime& runtime, options options, fencing_token token,
                                     hooks callbacks)
    : runtime_(runtime),
      options_(std::move(options)),
      hooks_(std::move(callbacks)),
      client_(runtime, options_.cloud_endpoint, options_.rps, hooks_.lease_valid),
      releases_(client_, machines_, hooks_),
      scale_out_(client_, machines_, options_, token, hooks_.changed),
      list_reconciler_(client_, machines_, releases_, options_.list_lag, hooks_),
      catalog_(client_, hooks_.changed),
      timer_(runtime) {}

void machine_inventory::start() { tick(); }

/// Invokes the components in order of priority, since they share one rate budget: returns first,
/// because machines that are not returned cost money, then rentals, the list and the types.
void machine_inventory::tick() {
  timer_.start(tick_period, [this] { tick(); });
  machines_.expire_removed(runtime_.now());
  releases_.send();
  scale_out_.send();
  list_reconciler_.read_if_due();
  catalog_.refresh_if_due();
  release_failed_starts();
}

/// Returns machines that have failed to start, which are billed until they are returned.
void machine_inventory::release_failed_starts() {
  std::vector<machine_name> names;
  for (const auto& [name, entry] : machines_.all()) {
    if (has_failed_to_start(entry)) names.push_back(name);
  }
  for (const auto& name : names) release(name, release_reason::never_came_up);
}

/// Reports whether the machine has failed, has taken too long to boot, or has been running for too
/// long without a heartbeat from its worker.
bool machine_inventory::has_failed_to_start(const machine& entry) const {
  if (entry.releasing || entry.reported_in_term) return false;
  const time_point now = runtime_.now();
  switch (entry.status) {
    case machine_status::failed:
      return true;
    case machine_status::starting: {
      const double boot_s = to_seconds(catalog_.boot_time(entry.pool.type));
      return now - entry.rental_start > from_seconds(boot_s * options_.boot_timeout_factor);
    }
    case machine_status::running:
      break;
  }
  return entry.running_since != time_point{} &&
         now - entry.running_since >
             options_.first_heartbeat_timeout + hooks_.heartbeat_timeout_extension(entry.pool.zone);
}

void machine_inventory::heartbeat_received(const machine_name& name, const admission::pool& pool) {
  if (machines_.was_removed(name)) return;
  machine& entry = machines_.find_or_add(name, runtime_.now()).entry;
  entry.pool = pool;
  if (!entry.reported_in_term) {
    spdlog::debug("machine_up machine={} after_s={:.1f}", name,
                  to_seconds(runtime_.now() - entry.rental_start));
  }
  entry.reported_in_term = true;
  if (entry.status != machine_status::failed) entry.status = machine_status::running;
}

bool machine_inventory::is_releasing(const machine_name& name) const {
  const machine* entry = machines_.find(name);
  return entry != nullptr && entry->releasing;
}

bool machine_inventory::was_rented_in_term(const machine_name& name) const {
  const machine* entry = machines_.find(name);
  return entry != nullptr && entry->rented_in_term;
}

std::vector<machine> machine_inventory::starting_machines() const {
  std::vector<machine> starting;
  for (const auto& [name, entry] : machines_.all()) {
    if (!entry.reported_in_term && !entry.releasing && entry.status != machine_status::failed)
      starting.push_back(entry);
  }
  for (auto& placeholder : scale_out_.pending_machines())
    starting.push_back(std::move(placeholder));
  return starting;
}

}  // namespace gingerdrift::cloud
