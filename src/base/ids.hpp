#pragma once

#include <fmt/format.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gingerdrift {

/// A strongly typed text identifier, ordered like its text. Identifiers with different tags do not
/// convert into each other or into plain text; codecs convert from and to text explicitly.
template <typename tag>
class text_id {
 public:
  text_id() = default;
  explicit text_id(std::string text) : text_(std::move(text)) {}
  /// Converts implicitly from a literal, as the place where it is used shows what it identifies.
  template <std::size_t size>
  text_id(const char (&literal)[size]) : text_(literal) {}

  /// Returns the text, for codecs and logs.
  const std::string& str() const { return text_; }
  bool empty() const { return text_.empty(); }

  friend bool operator==(const text_id&, const text_id&) = default;
  friend std::strong_ordering operator<=>(const text_id&, const text_id&) = default;
  friend std::ostream& operator<<(std::ostream& out, const text_id& id) { return out << id.text_; }

 private:
  std::string text_;
};

/// A strongly typed numeric identifier or counter, ordered by its value. 0 means that there is
/// none.
template <typename tag>
class number_id {
 public:
  constexpr number_id() = default;
  constexpr explicit number_id(std::uint64_t value) : value_(value) {}

  /// Returns the number, for codecs and logs.
  constexpr std::uint64_t value() const { return value_; }
  constexpr number_id next() const { return number_id(value_ + 1); }
  /// Reports whether the value is other than 0.
  constexpr bool exists() const { return value_ != 0; }

  friend constexpr bool operator==(const number_id&, const number_id&) = default;
  friend constexpr std::strong_ordering operator<=>(const number_id&, const number_id&) = default;
  friend std::ostream& operator<<(std::ostream& out, const number_id& id) {
    return out << id.value_;
  }

 private:
  std::uint64_t value_ = 0;
};

/// The name of a job, chosen by its user.
using job_id = text_id<struct job_id_tag>;
/// The name of a controller.
using node_name = text_id<struct node_name_tag>;
/// The name of a machine, assigned by the cloud. Names are never reused.
using machine_name = text_id<struct machine_name_tag>;
/// The name of a zone. Empty if any zone is acceptable or the zone is unknown.
using zone_name = text_id<struct zone_name_tag>;

/// The fencing token of a leadership term. Each term's token is higher than all earlier ones.
using fencing_token = number_id<struct fencing_token_tag>;
/// The incarnation number of a worker. Incremented each time the worker's lease expires.
using worker_incarnation = number_id<struct worker_incarnation_tag>;
/// The number of an attempt of a task, unique within the task.
using attempt_number = number_id<struct attempt_number_tag>;
/// A revision of the key-value store. The version of a key is the revision that last wrote it, or 0
/// if the key does not exist.
using store_revision = number_id<struct store_revision_tag>;

/// Converts identifiers into texts, for codecs.
template <typename tag>
std::vector<std::string> texts_of(const std::vector<text_id<tag>>& ids) {
  std::vector<std::string> texts;
  texts.reserve(ids.size());
  for (const auto& id : ids) texts.push_back(id.str());
  return texts;
}

/// Converts texts into identifiers, for codecs.
template <typename id>
std::vector<id> ids_of(const std::vector<std::string>& texts) {
  std::vector<id> ids;
  ids.reserve(texts.size());
  for (const auto& text : texts) ids.emplace_back(text);
  return ids;
}

/// Identifies a task by its job and its index within the job.
struct task_id {
  job_id job;
  std::uint32_t index = 0;
  friend auto operator<=>(const task_id&, const task_id&) = default;
};

/// Identifies an attempt by its task and the attempt number.
struct attempt_id {
  task_id task;
  attempt_number number;
  friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

}  // namespace gingerdrift

/// Hashes an identifier like its text. Unordered containers therefore iterate in the same order
/// whether their key is the identifier or the text.
template <typename tag>
struct std::hash<gingerdrift::text_id<tag>> {
  std::size_t operator()(const gingerdrift::text_id<tag>& id) const {
    return std::hash<std::string>()(id.str());
  }
};

/// Formats a text identifier for log records.
template <typename tag>
struct fmt::formatter<gingerdrift::text_id<tag>> : fmt::formatter<std::string_view> {
  /// Writes the text.
  template <typename context>
  auto format(const gingerdrift::text_id<tag>& id, context& out) const {
    return fmt::formatter<std::string_view>::format(id.str(), out);
  }
};

/// Formats a numeric identifier for log records.
template <typename tag>
struct fmt::formatter<gingerdrift::number_id<tag>> : fmt::formatter<std::uint64_t> {
  /// Writes the number.
  template <typename context>
  auto format(const gingerdrift::number_id<tag>& id, context& out) const {
    return fmt::formatter<std::uint64_t>::format(id.value(), out);
  }
};
