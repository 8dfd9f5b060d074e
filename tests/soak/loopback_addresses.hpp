#pragma once

#include <cstddef>
#include <string>

namespace gingerdrift::testing {

/// The addresses of one soak run. All of them are in a block of the loopback network that is
/// derived from the process id, so that several runs at the same time don't share any.
class loopback_addresses {
 public:
  explicit loopback_addresses(std::size_t process_id);

  /// Where a controller serves users and workers, and its peers.
  std::string front(std::size_t node) const { return host(first_controller + node) + ":8080"; }
  std::string peer(std::size_t node) const { return host(first_controller + node) + ":8081"; }
  /// Where the stand-ins of the state service and the cloud serve one controller.
  std::string state(std::size_t node) const { return host(first_controller + node) + ":2379"; }
  std::string cloud(std::size_t node) const { return host(first_controller + node) + ":8443"; }
  /// Where messages from one controller to another are received and passed on.
  std::string link(std::size_t sender, std::size_t receiver) const;
  /// Where the stand-in of a machine serves the controllers. `index`: counts machines from 0.
  std::string machine(std::size_t index) const;

 private:
  static constexpr std::size_t first_controller = 10;
  std::string host(std::size_t last_byte) const { return block_ + std::to_string(last_byte); }

  std::string block_;  // the first three bytes of all addresses, with the dots
};

}  // namespace gingerdrift::testing
