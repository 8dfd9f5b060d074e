#pragma once

#include <chrono>
#include <cstdint>

namespace gingerdrift {

using std::chrono::milliseconds;
using std::chrono::seconds;
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using wall_time = std::chrono::system_clock::time_point;
using fractional_seconds = std::chrono::duration<double>;

/// Converts decimal seconds, the unit of durations on the wire and in settings. All such
/// conversions go through this function and to_seconds().
inline duration from_seconds(double value) {
  return std::chrono::duration_cast<duration>(fractional_seconds(value));
}
/// Returns the duration in decimal seconds.
inline double to_seconds(duration value) {
  return std::chrono::duration_cast<fractional_seconds>(value).count();
}

}  // namespace gingerdrift
