#pragma once

#include <uv.h>

#include <optional>

namespace gingerdrift::net {

/// The reason why a libuv call failed.
class uv_error {
 public:
  explicit uv_error(int code) : code_(code) {}
  /// Returns a description such as "address already in use".
  const char* message() const { return uv_strerror(code_); }

 private:
  int code_;  // a negative libuv error code
};

/// Converts the result of a libuv call into an error; nullopt on success.
inline std::optional<uv_error> error_of(int status) {
  if (status >= 0) return std::nullopt;
  return uv_error(status);
}

}  // namespace gingerdrift::net
