#pragma once

#include <fstream>
#include <string>

#include "net/transport.hpp"

namespace review {

/// Writes what was sent, answered and run, one line per event, with the seconds since the start.
class record {
 public:
  record(gingerdrift::net::runtime& runtime, const std::string& file)
      : runtime_(runtime), started_(runtime.now()), out_(file, std::ios::trunc) {}

  double seconds_now() const { return gingerdrift::to_seconds(runtime_.now() - started_); }
  void write(const std::string& event);

 private:
  gingerdrift::net::runtime& runtime_;
  gingerdrift::time_point started_;
  std::ofstream out_;
};

}  // namespace review
