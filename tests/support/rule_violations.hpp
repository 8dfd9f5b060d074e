#pragma once

#include <string>
#include <vector>

#include "support/sim_net.hpp"

namespace gingerdrift::testing {

/// The rule violations found in a scenario. The text of each violation begins with the name of its
/// rule.
class rule_violations {
 public:
  explicit rule_violations(const sim_net& net) : net_(net) {}
  /// Records and logs a violation. A text that is already recorded is ignored.
  void add(const std::string& violation);
  /// Reports whether the text of any violation starts with `beginning`.
  bool contains(const std::string& beginning) const;
  void clear() { violations_.clear(); }
  /// Returns the texts of all violations, each followed by "; "; empty if there is none.
  std::string text() const;

 private:
  const sim_net& net_;
  std::vector<std::string> violations_;
};

}  // namespace gingerdrift::testing
