#include "record.hpp"

#include <fmt/format.h>

namespace review {

void record::write(const std::string& event) {
  out_ << fmt::format("{:8.3f} {}\n", seconds_now(), event) << std::flush;
}

}  // namespace review
