#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "base/time.hpp"

namespace gingerdrift {

/// Histogram of durations on a logarithmic scale, for the status report. Must be used on the event
/// loop's thread.
class duration_histogram {
 public:
  /// Records a duration.
  void add(duration value) {
    total_ += value;
    counts_(to_seconds(value) * 1000);
  }
  /// Returns the sum of all recorded durations.
  duration total() const { return total_; }
  /// Returns the number of recorded durations, and their median and 99th percentile in
  /// milliseconds. Both percentiles are 0 if nothing was recorded.
  nlohmann::json summary() const {
    double count = 0;
    for (auto&& cell : boost::histogram::indexed(counts_, boost::histogram::coverage::all)) {
      count += *cell;
    }
    return {{"count", count}, {"p50_ms", quantile(0.5, count)}, {"p99_ms", quantile(0.99, count)}};
  }

 private:
  /// Returns the upper edge, in milliseconds, of the first bin at which the given fraction of all
  /// `count` durations is reached.
  double quantile(double fraction, double count) const {
    double sum = 0;
    for (auto&& cell : boost::histogram::indexed(counts_, boost::histogram::coverage::all)) {
      sum += *cell;
      if (count > 0 && sum >= fraction * count) return cell.bin().upper();
    }
    return 0;
  }
  using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using histogram = decltype(boost::histogram::make_histogram(std::declval<axis>()));
  static constexpr unsigned bin_count = 30;
  static constexpr double min_ms = 0.01;
  static constexpr double max_ms = 10000;

  duration total_{};
  histogram counts_ = boost::histogram::make_histogram(axis(bin_count, min_ms, max_ms));
};

/// Adds the time between its construction and its destruction to a sum. Measures real time, even in
/// tests that run in virtual time.
class stopwatch {
 public:
  explicit stopwatch(duration& sum) : sum_(sum) {}
  ~stopwatch() { sum_ += std::chrono::steady_clock::now() - begin_; }
  stopwatch(const stopwatch&) = delete;
  stopwatch& operator=(const stopwatch&) = delete;

 private:
  duration& sum_;
  time_point begin_ = std::chrono::steady_clock::now();
};

/// Time spent on the event loop's thread, by activity.
struct loop_activity_times {
  duration heartbeats{};
  duration user_requests{};
  duration peer_requests{};
  duration recovery{};     // adding the records that a new leader reads
  duration snapshots{};    // of the leader's state, for scheduling cycles
  duration decisions{};    // applying the results of scheduling cycles
  duration maintenance{};  // the leader's periodic checks of machines and leases
};

/// Metrics of one controller since its start, for the status report. Must be used on the event
/// loop's thread.
struct metrics {
  /// Durations of the scheduling cycles on the scheduling thread.
  duration_histogram scheduling_cycles;
  /// How late the event loop runs its timers.
  duration_histogram loop_delays;
  /// Busy times of the event loop's turns.
  duration_histogram loop_turns;
  duration longest_loop_turn{};
  /// Times from the arrival of heartbeats to their processing.
  duration_histogram heartbeat_waits;
  loop_activity_times loop_activities;
  // Event counts:
  std::uint64_t user_requests = 0;
  std::uint64_t heartbeats = 0;
  std::uint64_t redirected_heartbeats = 0;
  std::uint64_t expired_heartbeats = 0;  // waited so long that their workers had given them up
  std::uint64_t starts = 0;
  std::uint64_t preemptions = 0;
  std::uint64_t upgrades = 0;
};

}  // namespace gingerdrift
