#pragma once

namespace gingerdrift::daemon {

/// Configures the default logger to write to standard error. The environment variable LOG_LEVEL
/// sets the level: debug, info or error. Any other value, or none, means info.
void set_up_logging();

}  // namespace gingerdrift::daemon
