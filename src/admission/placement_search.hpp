#pragma once

#include "admission/capacity_index.hpp"
#include "admission/cycle_job.hpp"
#include "admission/reservations.hpp"

namespace gingerdrift::admission {

/// Finds machines with free capacity for a task of a job. Doesn't check quotas.
class placement_search {
 public:
  placement_search(capacity_index& capacity, const cycle_reservations& reservations)
      : capacity_(capacity), reservations_(reservations) {}

  /// Reports whether the job may use the machine, apart from its free capacity: the machine accepts
  /// tasks, is in a zone that the job allows and isn't reserved for another job, and the job didn't
  /// fail on it.
  bool is_usable(std::size_t machine, const cycle_job& job) const;
  /// Returns the machine on which to place a task of the job: preferably one that is reserved for
  /// the job, then a machine in use that has the image, then the fullest machine in use. Empty
  /// machines come last, so that they stay available to jobs that need whole machines. Returns
  /// `no_machine` if no machine fits.
  std::size_t best_fit(const cycle_job& job, const pool& target);
  /// Returns up to `limit` machines with capacity for at least one task of the job, those that are
  /// reserved for the job first.
  std::vector<std::size_t> machines_with_capacity(const cycle_job& job, const pool& target,
                                                  std::size_t limit);
  /// Reports whether the result of a search for the job depends only on the target pool and the
  /// resource request, so that it is the same for similar jobs.
  bool is_unrestricted(const cycle_job& job) const;

 private:
  /// The best machine in use and the first empty machine that have the image of a job.
  struct machines_with_image {
    std::size_t in_use = capacity_index::no_machine;
    std::size_t empty = capacity_index::no_machine;
  };
  bool fits(std::size_t machine, const cycle_job& job,
            const std::vector<std::size_t>& groups) const;
  bool is_fuller(std::size_t machine, std::size_t than) const;
  std::size_t fullest_reserved(const cycle_job& job, const std::vector<std::size_t>& groups) const;
  machines_with_image best_with_image(const cycle_job& job,
                                      const std::vector<std::size_t>& groups) const;
  std::size_t fullest(const cycle_job& job, const std::vector<std::size_t>& groups) const;

  capacity_index& capacity_;
  const cycle_reservations& reservations_;
};

}  // namespace gingerdrift::admission
