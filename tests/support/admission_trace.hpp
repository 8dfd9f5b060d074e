#pragma once

#include <string>

namespace gingerdrift::testing {

/// Plays a kept trace: its world lines set a snapshot up, `pass SECONDS` runs the scheduler that
/// much later, and the lines starting with `>` are what it must decide. Returns the trace as it
/// came out. tests/traces/README.md explains the lines.
std::string play_trace(const std::string& text);

}  // namespace gingerdrift::testing
