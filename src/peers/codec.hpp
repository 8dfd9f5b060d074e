#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/ids.hpp"

namespace gingerdrift::peers {

/// The purpose of a message between controllers. The numbers are part of the wire format.
enum class message_kind : std::uint8_t {
  /// A heartbeat. The response reports whether the peer reaches the store, how many workers'
  /// heartbeats it receives, and which leader it knows.
  heartbeat = 1,
  /// A notification to the leader that a job was stored and can be read.
  job_announced = 2,
  /// A user's request that the receiver handles on behalf of the sender.
  user_request = 3,
};

/// A message from one controller to another.
struct message {
  peers::message_kind kind = message_kind::heartbeat;
  node_name node;  // the sender
  // Only user_request: the HTTP request.
  std::string method;
  std::string target;
  std::string body;
  job_id job;  // only job_announced: the job that was stored
};

/// The response to a message. Which fields are meaningful depends on the message's kind.
struct peer_response {
  // Only user_request: the HTTP response.
  int status = 0;
  std::string body;
  std::int64_t retry_after = -1;  // value of the Retry-After header in seconds; negative: no header
  // Only heartbeat: the state of the responding node.
  bool store_reachable = false;       // whether the key-value store responds to the node
  std::uint64_t heartbeats_seen = 0;  // number of workers' heartbeats that it received recently
  node_name leader;                   // the leader that it knows; empty: none
  fencing_token token;                // the fencing token of that leader
};

/// Encodes a message to a peer.
std::string encode(const message& message);
/// Encodes the response to a message.
std::string encode(const peer_response& response);
/// Decodes a message; returns no value if the bytes are not a message of this format.
std::optional<message> decode_message(const std::string& bytes);
/// Decodes a response; returns no value if the bytes are not a response of this format.
std::optional<peer_response> decode_peer_response(const std::string& bytes);

}  // namespace gingerdrift::peers
