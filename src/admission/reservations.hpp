#pragma once

#include "admission/capacity_index.hpp"

namespace gingerdrift::admission {

/// Reservation of a machine for a job, kept between scheduling cycles.
struct reservation {
  job_id job;
  time_point until;
};
using reservations_by_machine = std::map<machine_name, reservation>;

/// The reservations of one scheduling cycle: the stored ones that are still valid, and those added
/// in the cycle. Writes each change to `stored`, from which the next cycle restores them.
class cycle_reservations {
 public:
  /// `ttl` is the time after which a reservation expires unless a later cycle renews it.
  cycle_reservations(reservations_by_machine& stored, capacity_index& capacity, time_point now,
                     duration ttl)
      : stored_(stored), capacity_(capacity), now_(now), ttl_(ttl) {}

  /// Drops the stored reservations that have expired, whose job doesn't wait or whose machine no
  /// longer exists, and reserves the machines of the others in the capacity index.
  void restore(const std::set<job_id>& waiting_jobs);
  /// Reserves a machine or renews its reservation. `job` has to outlive the cycle.
  void reserve(std::size_t machine, const job_id& job);

  /// Returns the machines reserved for a job: first the restored ones by name, then those reserved
  /// in this cycle in the order of their reservation.
  const std::vector<std::size_t>& machines_of(const job_id& job) const;
  /// Returns the number of reserved machines in each pool, for all jobs together.
  std::map<pool, std::size_t> count_by_pool() const;

 private:
  reservations_by_machine& stored_;
  capacity_index& capacity_;
  const time_point now_;
  const duration ttl_;
  std::map<job_id, std::vector<std::size_t>> machines_by_job_;
};

}  // namespace gingerdrift::admission
