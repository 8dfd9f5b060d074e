#pragma once

#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "base/time.hpp"

namespace gingerdrift::daemon {

/// Durations on a logarithmic scale, for the status view. Used by the socket thread alone.
class duration_histogram {
 public:
  void add(duration value) { counts_(to_seconds(value) * 1000); }
  nlohmann::json summary() const {
    double total = 0;
    for (auto&& cell : boost::histogram::indexed(counts_, boost::histogram::coverage::all))
      total += *cell;
    return {{"count", total}, {"p50_ms", quantile(0.5, total)}, {"p99_ms", quantile(0.99, total)}};
  }

 private:
  /// Upper edge of the bin the quantile falls into.
  double quantile(double share, double total) const {
    double sum = 0;
    for (auto&& cell : boost::histogram::indexed(counts_, boost::histogram::coverage::all)) {
      sum += *cell;
      if (total > 0 && sum >= share * total) return cell.bin().upper();
    }
    return 0;
  }
  using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<axis>> counts_ =
      boost::histogram::make_histogram(axis(30, 0.01, 10000.0));
};

struct metrics {
  duration_histogram passes;
  std::uint64_t reports = 0;
  std::uint64_t redirected = 0;
  std::uint64_t starts = 0;
  std::uint64_t preemptions = 0;
  std::uint64_t upgrades = 0;
};

}  // namespace gingerdrift::daemon
