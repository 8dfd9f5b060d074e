#pragma once

#include <string>

namespace gingerdrift::testing {

/// Replays a recorded trace of admission and returns it with the decisions made in this run. The
/// lines of a trace set up a snapshot, `cycle SECONDS` lets that much time pass and runs a
/// scheduling cycle, and the lines that start with `>` are the expected decisions, which are
/// ignored here and which the caller compares. Throws std::invalid_argument or std::out_of_range
/// for a malformed line. tests/traces/README.md describes the lines.
std::string play_trace(const std::string& text);

}  // namespace gingerdrift::testing
