#include "cloud/release_queue.hpp"

#include <spdlog/spdlog.h>

namespace gingerdrift::cloud {

namespace {
constexpr std::size_t max_batch_size = 100;
}  // namespace

release_queue::release_queue(cloud_client& client, machine_table& machines,
                             const inventory_hooks& hooks)
    : client_(client), machines_(machines), hooks_(hooks) {}

void release_queue::add(const machine_name& name, release_reason reason) {
  if (machines_.was_removed(name)) return;
  machine& entry = machines_.find_or_add(name, client_.now()).entry;
  if (entry.releasing) return;
  entry.releasing = true;
  spdlog::info("machine_released machine={} reason={}", name, text_of(reason));
}

void release_queue::send() {
  if (in_flight_) return;
  std::vector<machine_name> batch;
  for (const auto& [name, entry] : machines_.all()) {
    if (entry.releasing && batch.size() < max_batch_size) batch.push_back(name);
  }
  if (batch.empty() || !client_.try_acquire()) return;
  in_flight_ = true;
  client_.call({"POST", "/rentals/release", encode_release_request(batch)},
               [this, batch](const net::response& response) { handle_response(batch, response); });
}

void release_queue::handle_response(const std::vector<machine_name>& batch,
                                    const net::response& response) {
  in_flight_ = false;
  if (response.status != 200) return client_.pause_after_failure();
  for (const auto& name : batch) {
    machines_.remove(name, client_.now());
    hooks_.machine_terminated(name, termination_evidence::released);
  }
}

}  // namespace gingerdrift::cloud
