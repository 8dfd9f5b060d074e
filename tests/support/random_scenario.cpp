#include "support/random_scenario.hpp"

#include <array>
#include <random>
#include <sstream>

namespace gingerdrift::testing {

namespace {

/// The interval in which faults start, in seconds of the scenario.
constexpr double faults_from_s = 6;
constexpr double faults_until_s = 95;

/// Writes a scenario line by line. All random values come from one generator, so changing the order
/// of the calls changes the scenario of every seed.
class scenario_writer {
 public:
  explicit scenario_writer(std::uint64_t seed) : random_(seed) {}

  /// Returns a scenario without an upgrade.
  std::string write() {
    write_site();
    write_jobs();
    out_ << "at 1 query_all_controllers for=400\n";
    const int faults = integer(4, 12);
    for (int i = 0; i < faults; ++i) write_fault();
    out_ << "faults_over 125\nend 420\n";
    return out_.str();
  }

  /// Returns a scenario with an upgrade of all controllers and, in some cases, announced limits.
  std::string write_upgrade() {
    if (chance(0.6)) out_ << "announced value_kb=2 txn_ops=8 write_rps=30\n";
    write_site();
    write_jobs();
    out_ << "at 1 query_all_controllers for=400\n";
    out_ << "at " << real(8, 40) << " upgrade every=" << real(0.5, 10)
         << " downtime=" << real(0.1, 5) << " batch=" << integer(1, 2)
         << " order=" << choice_of(std::array{"number", "backwards", "leader_first", "leader_last"})
         << "\n";
    out_ << "pipelines count=" << integer(3, 8) << " from=" << real(8, 60)
         << " over=" << real(5, 40) << " run=6\n";
    for (int i = 0; i < 3; ++i)
      out_ << "at " << real(20, 95) << " cancel " << pipeline_stage() << "\n";
    if (chance(0.5)) out_ << "at " << real(15, 90) << " limits value_kb=2 txn_ops=8 write_rps=30\n";
    const int faults = integer(3, 9);
    for (int i = 0; i < faults; ++i) write_fault();
    out_ << "faults_over 130\nend 440\n";
    return out_.str();
  }

 private:
  double real(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  int integer(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random_); }
  bool chance(double share) { return real(0, 1) < share; }
  template <std::size_t N>
  std::string choice_of(const std::array<const char*, N>& choices) {
    return choices[static_cast<std::size_t>(integer(0, N - 1))];
  }
  std::string controller() {
    return choice_of(
        std::array{"leader", "leader", "leader", "follower", "node-0", "node-2", "all"});
  }

  /// Returns the id of a random job of one of the first four pipelines.
  std::string pipeline_stage() {
    return "run-" + std::to_string(5000 + 10 * integer(0, 3) + integer(0, 4));
  }

  /// The allowed cancellation time may be longer or shorter than the lease of a worker.
  void write_site() {
    const int lease = integer(5, 14);
    const int cancel = chance(0.3) ? integer(5, lease + 2) : lease + integer(4, 20);
    out_ << "site lease=" << lease << " cancel=" << cancel << " capacity=" << integer(4, 10)
         << " quota_factor=" << integer(1, 2)
         << " final_cache=" << (chance(0.5) ? integer(1, 4) : 4096) << "\n";
  }

  void write_jobs() {
    out_ << "mixed jobs=" << integer(12, 40) << " over=" << integer(30, 90)
         << " run=" << integer(5, 20) << "\n";
    if (chance(0.3)) out_ << "pipelines count=" << integer(2, 4) << " from=5 over=60 run=6\n";
  }

  /// Writes a random fault. Kinds that occur several times in the table are chosen more often.
  void write_fault() {
    using writer = void (scenario_writer::*)();
    static const std::array<writer, 15> writers = {&scenario_writer::write_crash,
                                                   &scenario_writer::write_freeze,
                                                   &scenario_writer::write_cut,
                                                   &scenario_writer::write_cut,
                                                   &scenario_writer::write_cut,
                                                   &scenario_writer::write_zone_cut,
                                                   &scenario_writer::write_outage,
                                                   &scenario_writer::write_slow_state,
                                                   &scenario_writer::write_late_writes,
                                                   &scenario_writer::write_lost_answers,
                                                   &scenario_writer::write_late_heartbeats,
                                                   &scenario_writer::write_machine_fault,
                                                   &scenario_writer::write_limits,
                                                   &scenario_writer::write_cancellations,
                                                   &scenario_writer::write_cancellations_at_ends};
    out_ << "at " << real(faults_from_s, faults_until_s) << " ";
    const auto index = static_cast<std::size_t>(integer(0, static_cast<int>(writers.size()) - 1));
    (this->*writers[index])();
    out_ << "\n";
  }

  void write_crash() {
    out_ << "crash " << controller() << " for=" << (chance(0.5) ? real(0.05, 1) : real(1, 9));
  }
  void write_freeze() { out_ << "freeze " << controller() << " for=" << real(0.5, 12); }
  void write_cut() {
    out_ << "cut " << controller() << " from="
         << choice_of(std::array{"state", "peers", "state,peers", "workers", "state,workers",
                                 "users", "state,peers,cloud,workers"})
         << " for=" << real(0.5, 15)
         << " mode=" << choice_of(std::array{"drop", "hold", "refuse", "answers"});
  }
  void write_zone_cut() {
    out_ << (chance(0.5) ? "cut_zone b" : "partition b") << " for=" << real(2, 18)
         << " mode=" << choice_of(std::array{"drop", "hold"});
  }
  void write_outage() { out_ << "outage for=" << real(0.5, 25); }
  void write_slow_state() { out_ << "slow_store by=" << real(0.1, 2) << " for=" << real(2, 20); }
  void write_late_writes() {
    out_ << "late_writes share=" << real(0.1, 0.6) << " for=" << real(5, 40);
  }
  void write_lost_answers() {
    out_ << "lost_answers share=" << real(0.1, 0.7) << " for=" << real(5, 40);
  }
  void write_late_heartbeats() {
    out_ << "late_heartbeats share=" << real(0.1, 0.5) << " longest=25 for=" << real(10, 40);
  }
  void write_machine_fault() {
    out_ << choice_of(std::array{"unreachable", "mute", "hang"}) << " machines=" << integer(1, 4)
         << " for=" << real(2, 20);
  }
  void write_limits() {
    out_ << "limits value_kb=" << integer(2, 8) << " txn_ops=" << integer(6, 24)
         << " write_rps=" << integer(15, 60) << " rps=" << integer(90, 150);
  }
  void write_cancellations() { out_ << "cancel_running jobs=" << integer(1, 6); }
  void write_cancellations_at_ends() {
    out_ << "cancel_as_jobs_end share=" << real(0.1, 0.7) << " for=" << real(10, 50);
  }

  std::mt19937_64 random_;
  std::ostringstream out_;
};

}  // namespace

random_scenario make_random_scenario(std::uint64_t seed) {
  return {.trace = scenario_writer(seed).write(),
          .controllers = seed % 2 == 0 ? std::size_t{5} : 3,
          .seed = seed};
}

random_scenario make_random_upgrade_scenario(std::uint64_t seed) {
  return {.trace = scenario_writer(seed).write_upgrade(),
          .controllers = seed / 2 % 2 == 0 ? std::size_t{5} : 3,
          .seed = seed,
          .former = seed % 2 == 0 ? &former_version::production()
                                  : &former_version::before_dependencies()};
}

}  // namespace gingerdrift::testing
