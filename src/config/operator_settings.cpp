#include "config/operator_settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>
#include <optional>
#include <pugixml.hpp>
#include <set>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include "config/field.hpp"
#include "config/settings_error.hpp"

namespace gingerdrift::config {

namespace {
/// The member that an element's value is stored in: a duration (given in seconds), a number, a
/// whole number, or a list of words.
using setting_member =
    std::variant<duration operator_settings::*, double operator_settings::*,
                 std::uint32_t operator_settings::*, std::vector<std::string> operator_settings::*>;

/// An element that the settings file may contain.
struct element_spec {
  const char* path;  // section and name, separated by a slash
  setting_member member;
  number_range range = {};  // permitted values; unused for a list of words
};

constexpr double day_s = 86400;

using fields = operator_settings;
const element_spec known_elements[] = {
    {"leadership/lease_s", &fields::leader_lease, {1, 60}},
    {"admission/pool_order", &fields::pool_order},
    {"admission/create_delay_s", &fields::variant_creation_delay, {0, 3600}},
    {"admission/crowded_delay_s", &fields::contested_pool_delay, {0, 3600}},
    {"admission/rent_delay_s", &fields::lower_pool_scale_out_delay, {0, 3600}},
    {"admission/delete_delay_s", &fields::variant_deletion_delay, {0, day_s}},
    {"admission/upgrade_min_left_s", &fields::upgrade_min_remaining, {0, day_s}},
    {"admission/preempt_hold_s", &fields::reservation_ttl, {1, 600}},
    {"admission/gather_delay_s", &fields::gang_reservation_delay, {0, 3600}},
    {"admission/gather_share", &fields::gang_reservation_share, {0, 1}},
    {"admission/pass_interval_s", &fields::min_scheduling_interval, {0.01, 10}},
    {"fleet/idle_return_s", &fields::idle_machine_timeout, {0, day_s}},
    {"fleet/refusal_backoff_s", &fields::refusal_backoff, {1, 600}},
    {"fleet/boot_patience", &fields::boot_timeout_factor, {1, 100}},
    {"fleet/silent_release_s", &fields::missed_heartbeat_timeout, {0, 3600}},
    {"fleet/machines_max", &fields::machines_max, {1, 100000}},
    {"workers/sick_jobs", &fields::quarantine_after_failed_jobs, {1, 100}},
    {"workers/broken_backoff_s", &fields::failing_job_backoff, {1, 3600}},
    {"front/waiting_submissions", &fields::max_waiting_submissions, {1, 10000}},
    {"front/final_cache", &fields::terminal_state_cache_size, {16, 1000000}},
};

const element_spec* find_element(const std::string& path) {
  const auto* found =
      std::find_if(std::begin(known_elements), std::end(known_elements),
                   [&](const element_spec& element) { return path == element.path; });
  return found == std::end(known_elements) ? nullptr : found;
}

bool is_section(const std::string& name) {
  const std::string prefix = name + "/";
  return std::any_of(
      std::begin(known_elements), std::end(known_elements),
      [&](const element_spec& element) { return std::string(element.path).rfind(prefix, 0) == 0; });
}

/// Returns the number that the whole text forms, or nothing if it does not form one.
std::optional<double> parse_number(const std::string& text) {
  double value = 0;
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), last, value);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != last) return std::nullopt;
  return value;
}

std::vector<std::string> split_words(const std::string& text) {
  std::istringstream stream(text);
  return {std::istream_iterator<std::string>(stream), std::istream_iterator<std::string>()};
}

/// Returns the words of the text, separated by single spaces.
std::string collapse_whitespace(const std::string& text) {
  std::string joined;
  for (const auto& word : split_words(text)) joined += (joined.empty() ? "" : " ") + word;
  return joined;
}

/// Parses and checks the text of one element, and stores the value in the settings.
class value_parser {
 public:
  value_parser(field where, const std::string& text, const number_range& range,
               operator_settings& settings)
      : field_(std::move(where)), text_(text), range_(range), settings_(settings) {}

  void operator()(duration operator_settings::*member) {
    settings_.*member = from_seconds(number());
  }
  void operator()(double operator_settings::*member) { settings_.*member = number(); }
  void operator()(std::uint32_t operator_settings::*member) {
    const double value = number();
    if (value != std::floor(value)) field_.fail("must be a whole number");
    settings_.*member = static_cast<std::uint32_t>(value);
  }
  void operator()(std::vector<std::string> operator_settings::*member) {
    const auto words = split_words(text_);
    const std::set<std::string> distinct(words.begin(), words.end());
    if (distinct != std::set<std::string>{"spot", "on_demand"} || words.size() != 2)
      field_.fail("must name spot and on_demand, each once");
    settings_.*member = words;
  }

 private:
  double number() const { return field_.check_number(parse_number(text_), range_); }

  field field_;
  const std::string& text_;
  const number_range& range_;
  operator_settings& settings_;
};

/// Reads the sections of a file into settings. Elements that are not read keep their defaults.
class section_reader {
 public:
  explicit section_reader(const std::string& file) : file_(file) {}

  void read(const pugi::xml_node& section) {
    const std::string name = section.name();
    if (!is_section(name)) throw settings_error(file_, name, "unknown element");
    for (const auto& child : section.children()) {
      if (child.type() == pugi::node_pcdata)
        throw settings_error(file_, name, "text where elements are expected");
      if (child.type() == pugi::node_element) read_element(name + "/" + child.name(), child);
    }
  }
  const operator_settings& result() const { return settings_; }

 private:
  void read_element(const std::string& path, const pugi::xml_node& node) {
    const element_spec* element = find_element(path);
    if (element == nullptr) throw settings_error(file_, path, "unknown element");
    const bool is_new = visited_paths_.insert(path).second;
    if (!is_new) throw settings_error(file_, path, "occurs more than once");
    const std::string text = collapse_whitespace(node.child_value());
    std::visit(value_parser(field(file_, path), text, element->range, settings_), element->member);
  }

  const std::string& file_;
  std::set<std::string> visited_paths_;
  operator_settings settings_;
};

void load_document(const std::string& file, pugi::xml_document& document) {
  const auto loaded = document.load_file(file.c_str());
  if (loaded) return;
  throw settings_error(
      file, "XML",
      std::string(loaded.description()) + " (byte " + std::to_string(loaded.offset) + ")");
}
}  // namespace

operator_settings read_operator_settings(const std::string& file) {
  pugi::xml_document document;
  load_document(file, document);
  const auto root = document.document_element();
  if (std::string(root.name()) != "gingerdrift")
    throw settings_error(file, root.name(), "the root element must be gingerdrift");
  for (const auto& attribute : root.attributes())
    throw settings_error(file, attribute.name(), "unknown attribute");
  section_reader reader(file);
  for (const auto& section : root.children()) {
    if (section.type() == pugi::node_element) reader.read(section);
  }
  return reader.result();
}

}  // namespace gingerdrift::config
