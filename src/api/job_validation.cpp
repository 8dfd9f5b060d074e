#include "api/job_validation.hpp"

#include <algorithm>
#include <set>

namespace gingerdrift::api {

namespace {

/// Reports whether the job's tasks fit machines of this type and may use them, in at least one zone
/// that the job allows.
bool can_use(const job_store::job_spec& spec, const admission::machine_type& type) {
  const bool type_allowed = spec.any_type || std::find(spec.types.begin(), spec.types.end(),
                                                       type.name) != spec.types.end();
  const bool zone_allowed = spec.zone.empty() || std::find(type.zones.begin(), type.zones.end(),
                                                           spec.zone) != type.zones.end();
  return type_allowed && zone_allowed && spec.need.fits_in(type.size);
}

bool exceeds_team_limit(const job_store::job_spec& spec, const config::team& team) {
  // Amounts are decimal fractions: a job of exactly the limit must not be rejected because of a
  // rounding error.
  constexpr double slack = 1e-6;
  // The tasks of an array can run one after another; those of a gang all run at the same time.
  const double tasks_at_once = spec.gang ? spec.tasks : 1;
  return (team.cpus_max > 0 && spec.need.cpus * tasks_at_once > team.cpus_max + slack) ||
         (team.gpus_max > 0 && spec.need.gpus * tasks_at_once > team.gpus_max + slack);
}

}  // namespace

const char* text_of(rejection reason) {
  switch (reason) {
    case rejection::unknown_team:
      return "unknown team";
    case rejection::over_team_limit:
      return "more than the team's limit";
    case rejection::one_zone_and_spread:
      return "together and scatter exclude each other";
    case rejection::named_zone_and_spread:
      return "yard and scatter exclude each other";
    case rejection::no_fitting_machine_type:
      return "a task fits no allowed machine type";
    case rejection::too_few_zones_to_spread:
      return "scatter needs two zones";
    case rejection::depends_on_itself:
      return "awaits names the job itself";
    case rejection::unknown_dependency:
      break;
  }
  return "awaits names a job that was never accepted";
}

std::optional<rejection> find_rejection(const job_store::job_spec& spec,
                                        const std::vector<config::team>& teams,
                                        const std::vector<admission::machine_type>& types) {
  // If several teams have the same name, the last one in the settings applies.
  const auto team = std::find_if(teams.rbegin(), teams.rend(), [&](const config::team& candidate) {
    return candidate.name == spec.team;
  });
  if (team == teams.rend()) return rejection::unknown_team;
  if (exceeds_team_limit(spec, *team)) return rejection::over_team_limit;
  // Spreading allows at most half of the tasks in each zone at a time. The tasks of an array can
  // take turns within one zone; those of a gang run at the same time and need a second zone.
  const bool needs_two_zones = spec.gang && spec.spread && spec.tasks > 1;
  if (needs_two_zones && spec.one_zone) return rejection::one_zone_and_spread;
  if (needs_two_zones && !spec.zone.empty()) return rejection::named_zone_and_spread;
  std::set<zone_name> zones;
  for (const auto& type : types) {
    if (can_use(spec, type)) zones.insert(type.zones.begin(), type.zones.end());
  }
  if (zones.empty()) return rejection::no_fitting_machine_type;
  if (needs_two_zones && zones.size() < 2) return rejection::too_few_zones_to_spread;
  return std::nullopt;
}

}  // namespace gingerdrift::api
