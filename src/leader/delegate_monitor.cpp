#include "leader/delegate_monitor.hpp"

#include "workers/lease_delegate.hpp"

namespace gingerdrift::leader {

namespace {
/// Reports whether the record says that its delegate is inactive. A record that can't be decoded
/// counts as active.
bool is_marked_inactive(const kvstore::json& record) {
  return record.is_object() && record.contains(workers::delegation_field::active) &&
         record[workers::delegation_field::active] == false;
}
}  // namespace

delegate_monitor::delegate_monitor(kvstore::client& store, workers::reconciler& workers)
    : store_(store), workers_(workers) {}

void delegate_monitor::poll() {
  if (list_in_flight_) return;
  list_in_flight_ = true;
  store_.list(workers::delegate_key_prefix, "",
              guard_.wrap([this](const kvstore::result& records) { handle_records(records); }));
}

void delegate_monitor::handle_records(const kvstore::result& records) {
  list_in_flight_ = false;
  if (!records.ok() || records.more) return;
  std::map<std::string, store_revision> versions;
  active_zones_.clear();
  for (const auto& record : records.entries) {
    versions[record.key] = record.version;
    if (!is_marked_inactive(record.value))
      active_zones_.insert(
          zone_name(kvstore::text_field(record.value, workers::delegation_field::zone)));
  }
  if (!active_zones_.empty()) {
    inactive_since_.reset();
  } else if (!inactive_since_ || versions != record_versions_) {
    inactive_since_ = records.sent;
  }
  record_versions_ = std::move(versions);
  if (inactive_since_) workers_.expire_leases(*inactive_since_, records.sent);
}

}  // namespace gingerdrift::leader
