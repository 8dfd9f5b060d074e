// Runs seeded scenarios of the whole service in virtual time and prints one digest for each: a
// checksum of all requests and responses. Two builds with equal digests behave identically in these
// scenarios. scripts/compare-message-digests compares two commits.
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <boost/crc.hpp>
#include <cstdint>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "support/fault_scenario.hpp"
#include "support/random_scenario.hpp"

namespace {

using namespace gingerdrift;
using namespace gingerdrift::testing;

/// The checksum of all messages of one scenario. Log records are not included.
class message_digest {
 public:
  void add(const sent_message& message) {
    ++messages_;
    std::ostringstream line;
    line << message.sent.time_since_epoch().count() << ' ' << message.sender << ' '
         << message.receiver << ' ';
    if (message.request != nullptr) write(line, *message.request);
    if (message.response != nullptr) write(line, *message.response);
    line << '\n';
    const std::string text = line.str();
    checksum_.process_bytes(text.data(), text.size());
    if (dump_ != nullptr) *dump_ << text;
  }
  std::uint64_t checksum() const { return checksum_.checksum(); }
  std::size_t messages() const { return messages_; }
  void dump_to(std::ostream& out) { dump_ = &out; }

 private:
  static void write(std::ostream& out, const net::request& message) {
    out << message.method << ' ' << message.target << ' ' << message.body;
  }
  static void write(std::ostream& out, const net::response& message) {
    out << message.status << ' ' << (message.retry_after ? message.retry_after->count() : -1) << ' '
        << message.close << ' ' << message.body;
  }

  // CRC-64 with the polynomial of ECMA-182.
  boost::crc_optimal<64, 0x42F0E1EBA9EA3693, 0, 0, false, false> checksum_;
  std::size_t messages_ = 0;
  std::ostream* dump_ = nullptr;
};

/// Runs a scenario and prints its digest. The messages are also written to `dump_file` unless it is
/// empty.
void print_digest(const random_scenario& scenario, const std::string& dump_file) {
  message_digest digest;
  std::ofstream dump;
  if (!dump_file.empty()) {
    dump.open(dump_file);
    digest.dump_to(dump);
  }
  const std::string problems =
      play_fault_scenario(scenario.trace, scenario.controllers, scenario.seed, scenario.former,
                          [&digest](const sent_message& message) { digest.add(message); });
  const std::string name =
      scenario.former == nullptr ? "plain" : "upgrade_from_" + scenario.former->name();
  std::cout << name << " seed=" << scenario.seed << " controllers=" << scenario.controllers
            << " messages=" << digest.messages() << " digest=" << std::hex << std::setw(16)
            << std::setfill('0') << digest.checksum() << std::dec
            << " broken=" << (problems.empty() ? "none" : problems) << std::endl;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Prints a digest of all messages for each of a range of seeded scenarios"};
  std::uint64_t first = 1;
  std::uint64_t count = 1;
  std::string dump_file;
  app.add_option("--first", first, "the first seed");
  app.add_option("--count", count, "how many seeds; two scenarios for each");
  app.add_option("--dump", dump_file, "writes the messages of the last scenario to this file");
  CLI11_PARSE(app, argc, argv);
  spdlog::set_level(spdlog::level::off);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    print_digest(make_random_scenario(seed), dump_file);
    print_digest(make_random_upgrade_scenario(seed), dump_file);
  }
  return 0;
}
