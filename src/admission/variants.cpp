#include "admission/variants.hpp"

#include <functional>

namespace gingerdrift::admission {

namespace {

/// A pool that a job may use, and its sort keys.
struct pool_candidate {
  /// 0 for the kind that the settings prefer (spot or on-demand), 1 for the other.
  std::uint32_t kind_order;
  double price;
  std::size_t zone_order;
  pool target;
};

bool is_better(const pool_candidate& left, const pool_candidate& right) {
  return std::tie(left.kind_order, left.price, left.target.type, left.zone_order) <
         std::tie(right.kind_order, right.price, right.target.type, right.zone_order);
}

bool accepts_type(const job_view& job, const machine_type& type) {
  const bool is_named = std::find(job.types.begin(), job.types.end(), type.name) != job.types.end();
  return (job.any_type || is_named) && job.need.fits_in(type.size);
}

/// Adds a candidate for each zone that the job may use, or one candidate without a zone if the job
/// isn't bound to one zone.
void add_zones(const job_view& job, const machine_type& type, pool_candidate kind,
               std::vector<pool_candidate>& candidates) {
  const bool spans_zones = !job.one_zone && job.zone.empty();
  if (spans_zones) {
    candidates.push_back(std::move(kind));
    return;
  }
  // Zones are equally good. Each job orders them from a different first zone, so that they fill
  // evenly.
  const std::size_t first_zone = std::hash<job_id>{}(job.id);
  for (std::size_t i = 0; i < type.zones.size(); ++i) {
    if (!job.zone.empty() && job.zone != type.zones[i]) continue;
    kind.zone_order = (i + first_zone) % type.zones.size();
    kind.target.zone = type.zones[i];
    candidates.push_back(kind);
  }
}

std::vector<pool_candidate> eligible_pools(const job_view& job, const snapshot& input,
                                           bool spot_first) {
  std::vector<pool_candidate> candidates;
  for (const auto& type : input.types) {
    if (!accepts_type(job, type)) continue;
    for (const bool spot : {false, true}) {
      // Spot machines may be reclaimed at any time: only jobs that tolerate restarts use them.
      if (spot && !job.spot) continue;
      const std::uint32_t kind_order = spot == spot_first ? 0 : 1;
      const double price = spot ? type.spot_price : type.price;
      add_zones(job, type, {kind_order, price, 0, {type.name, "", spot}}, candidates);
    }
  }
  std::sort(candidates.begin(), candidates.end(), is_better);
  return candidates;
}

/// Returns the worst tier (the one with the highest number) of all placed tasks of the job.
std::uint32_t worst_running_tier(const job_admission& state, const job_view& job) {
  std::uint32_t worst = 0;
  for (const auto& task : job.placed) {
    for (const auto& variant : state.variants) {
      if (variant.target.is_same_kind_as(task.pool)) worst = std::max(worst, variant.tier);
    }
  }
  return worst;
}

}  // namespace

std::vector<variant> variant_table::create(const job_view& job, const snapshot& input) const {
  const std::vector<pool_candidate> candidates = eligible_pools(job, input, rules_.spot_first);
  std::vector<variant> variants;
  std::uint32_t tier = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const bool same_tier = i == 0 || (candidates[i].kind_order == candidates[i - 1].kind_order &&
                                      candidates[i].target.type == candidates[i - 1].target.type);
    if (!same_tier) ++tier;
    variants.push_back({candidates[i].target, static_cast<std::uint32_t>(i), tier, false});
  }
  return variants;
}

void variant_table::update_timers(job_admission& state, const job_view& job, time_point now) const {
  if (job.placed.empty()) {
    state.admitted_at.reset();
  } else if (!state.admitted_at) {
    state.admitted_at = now;
  }
  if (state.preempting_rank && (now >= state.preempting_until || job.waiting.empty()))
    state.preempting_rank.reset();
}

bool variant_table::may_upgrade(const job_admission& state, const job_view& job,
                                time_point now) const {
  return job.waiting.empty() && state.admitted_at &&
         now - *state.admitted_at < rules_.variant_deletion_delay &&
         job.estimate >= rules_.upgrade_min_remaining;
}

/// Returns the delay after which a lower variant is created. The delay is longer for a contested
/// pool: tasks of arrays would fill every gap there, so that gangs that can use no other pool would
/// not find whole machines. If all jobs that wait for the pool have a higher priority than this
/// job, the delay stays short, because they may preempt it.
duration variant_table::creation_delay(const variant& candidate, const job_view& job) const {
  const auto queue = contested_.find({candidate.target.type, candidate.target.spot});
  const bool is_contested = queue != contested_.end() && queue->second <= job.level;
  return is_contested ? std::max(rules_.variant_creation_delay, rules_.contested_pool_delay)
                      : rules_.variant_creation_delay;
}

job_admission& variant_table::refresh(const job_view& job, const snapshot& input) {
  auto [entry, is_new] = jobs_.try_emplace(job.id);
  job_admission& state = entry->second;
  if (is_new) {
    state.delay_start = job.created;
    state.variants = create(job, input);
  }
  update_timers(state, job, input.now);

  const bool upgradable = may_upgrade(state, job, input.now);
  // While no task waits, only the variants better than those in use stay active, for an upgrade.
  const std::uint32_t running_tier = upgradable ? worst_running_tier(state, job) : 0;
  for (auto& variant : state.variants) {
    const bool is_created =
        variant.tier == 0 || input.now - state.delay_start >= creation_delay(variant, job);
    const bool is_needed = !job.waiting.empty() || (upgradable && variant.tier < running_tier);
    variant.active = is_created && is_needed;
  }
  return state;
}

void variant_table::reset(const job_id& job, time_point now) {
  const auto entry = jobs_.find(job);
  if (entry == jobs_.end()) return;
  entry->second.delay_start = now;
  entry->second.admitted_at.reset();
  entry->second.preempting_rank.reset();
}

void variant_table::retain_only(const std::set<job_id>& jobs) {
  std::erase_if(jobs_, [&](const auto& entry) { return jobs.count(entry.first) == 0; });
}

}  // namespace gingerdrift::admission
