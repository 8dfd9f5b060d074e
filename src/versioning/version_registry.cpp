#include "versioning/version_registry.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>

namespace gingerdrift::versioning {

namespace {
const std::string key_prefix = "gd/version/";
const char* const format_field = "format";
constexpr auto read_interval = seconds(1);
}  // namespace

version_registry::version_registry(net::runtime& runtime, kvstore::client& store, node_name node,
                                   std::vector<node_name> nodes)
    : store_(store), node_(std::move(node)), nodes_(std::move(nodes)), timer_(runtime) {}

void version_registry::start() { read_records(); }

std::vector<node_name> version_registry::nodes_without_support() const {
  std::vector<node_name> without_support;
  for (const auto& node : nodes_) {
    if (std::find(supporting_nodes_.begin(), supporting_nodes_.end(), node) ==
        supporting_nodes_.end())
      without_support.push_back(node);
  }
  return without_support;
}

void version_registry::read_records() {
  store_.list(key_prefix, "",
              guard_.wrap([this](const kvstore::result& records) { handle_records(records); }));
}

void version_registry::handle_records(const kvstore::result& records) {
  if (!records.ok()) return schedule_next_read();
  supporting_nodes_.clear();
  for (const auto& entry : records.entries) {
    if (kvstore::number_field(entry.value, format_field) < dependencies_format) continue;
    supporting_nodes_.emplace_back(entry.key.substr(key_prefix.size()));
  }
  const auto without_support = nodes_without_support();
  if (without_support.empty()) {
    all_nodes_support_dependencies_ = true;
    spdlog::info("dependencies_supported");
    return;
  }
  if (std::find(without_support.begin(), without_support.end(), node_) != without_support.end())
    write_own_record();
  schedule_next_read();
}

void version_registry::write_own_record() {
  store_.txn(
      {},
      {kvstore::operation::put(key_prefix + node_.str(), {{format_field, dependencies_format}})},
      [](const kvstore::result&) {});
}

void version_registry::schedule_next_read() {
  timer_.start(read_interval, [this] { read_records(); });
}

}  // namespace gingerdrift::versioning
