#include "soak/loopback_addresses.hpp"

namespace gingerdrift::testing {

namespace {
constexpr std::size_t values_per_byte = 250;
constexpr std::size_t machine_host = 200;
constexpr std::size_t first_machine_port = 10000;
constexpr std::size_t first_link_port = 9000;
}  // namespace

loopback_addresses::loopback_addresses(std::size_t process_id)
    : block_("127." + std::to_string(1 + process_id / values_per_byte % values_per_byte) + "." +
             std::to_string(1 + process_id % values_per_byte) + ".") {}

std::string loopback_addresses::link(std::size_t sender, std::size_t receiver) const {
  return host(first_controller + sender) + ":" + std::to_string(first_link_port + receiver);
}

std::string loopback_addresses::machine(std::size_t index) const {
  return host(machine_host) + ":" + std::to_string(first_machine_port + index);
}

}  // namespace gingerdrift::testing
