#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace gingerdrift::job_store {

/// Reports that a stored record has a form that no version writes.
///
/// Thrown by the codecs of heads, parts, final records, dependency lists and the placement log. The
/// code that read the record catches it, logs it with the record's key and concludes nothing from
/// the record.
class record_error : public std::runtime_error {
 public:
  /// `field`: name of the malformed field; empty if the record as a whole, or its key, is
  /// malformed.
  record_error(std::string field, std::string reason)
      : std::runtime_error(field.empty() ? reason : field + ": " + reason),
        field_(std::move(field)),
        reason_(std::move(reason)) {}

  const std::string& field() const { return field_; }
  const std::string& reason() const { return reason_; }

 private:
  std::string field_;
  std::string reason_;
};

}  // namespace gingerdrift::job_store
