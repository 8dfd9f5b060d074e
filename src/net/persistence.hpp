#pragma once

namespace gingerdrift::net {

/// Whether a connection stays open after a response.
enum class connection_persistence { keep_alive, close };

}  // namespace gingerdrift::net
