#include "peers/codec.hpp"

#include <msgpack.hpp>

namespace gingerdrift::peers {

namespace {

/// The first element of the msgpack array that encodes a message or a response.
constexpr int format_version = 1;

/// Indexes of a message's fields in its array.
namespace message_fields {
enum : std::uint32_t { version, kind, node, method, target, body, job, count };
}

/// Indexes of a response's fields in its array.
namespace response_fields {
enum : std::uint32_t {
  version,
  status,
  body,
  retry_after,
  store_reachable,
  heartbeats_seen,
  leader,
  token,
  count
};
}

/// Encodes the format version, followed by the values in this order, as one array.
template <typename... value>
std::string pack_array(const value&... values) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(1 + sizeof...(values));
  packer.pack(format_version);
  (packer.pack(values), ...);
  return {buffer.data(), buffer.size()};
}

/// Reads the elements of an array. The constructor throws msgpack::type_error if the bytes are not
/// an array of `count` elements that starts with the format version.
class array_reader {
 public:
  array_reader(const std::string& bytes, std::uint32_t count)
      : handle_(msgpack::unpack(bytes.data(), bytes.size())) {
    const auto& object = handle_.get();
    if (object.type != msgpack::type::ARRAY || object.via.array.size != count)
      throw msgpack::type_error();
    if (get<int>(0) != format_version) throw msgpack::type_error();
  }

  template <typename value>
  value get(std::uint32_t index) const {
    return handle_.get().via.array.ptr[index].as<value>();
  }

 private:
  msgpack::object_handle handle_;
};

message_kind decode_kind(int number) {
  switch (static_cast<message_kind>(number)) {
    case message_kind::heartbeat:
    case message_kind::job_announced:
    case message_kind::user_request:
      return static_cast<message_kind>(number);
  }
  throw msgpack::type_error();
}

/// Returns the result of `read`, or no value if it throws.
template <typename reader>
auto if_well_formed(const reader& read) -> std::optional<decltype(read())> {
  try {
    return read();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string encode(const message& message) {
  return pack_array(static_cast<int>(message.kind), message.node.str(), message.method,
                    message.target, message.body, message.job.str());
}

std::string encode(const peer_response& response) {
  return pack_array(response.status, response.body, response.retry_after, response.store_reachable,
                    response.heartbeats_seen, response.leader.str(), response.token.value());
}

std::optional<message> decode_message(const std::string& bytes) {
  return if_well_formed([&bytes] {
    namespace fields = message_fields;
    const array_reader array(bytes, fields::count);
    message result;
    result.kind = decode_kind(array.get<int>(fields::kind));
    result.node = node_name(array.get<std::string>(fields::node));
    result.method = array.get<std::string>(fields::method);
    result.target = array.get<std::string>(fields::target);
    result.body = array.get<std::string>(fields::body);
    result.job = job_id(array.get<std::string>(fields::job));
    return result;
  });
}

std::optional<peer_response> decode_peer_response(const std::string& bytes) {
  return if_well_formed([&bytes] {
    namespace fields = response_fields;
    const array_reader array(bytes, fields::count);
    peer_response result;
    result.status = array.get<int>(fields::status);
    result.body = array.get<std::string>(fields::body);
    result.retry_after = array.get<std::int64_t>(fields::retry_after);
    result.store_reachable = array.get<bool>(fields::store_reachable);
    result.heartbeats_seen = array.get<std::uint64_t>(fields::heartbeats_seen);
    result.leader = node_name(array.get<std::string>(fields::leader));
    result.token = fencing_token(array.get<std::uint64_t>(fields::token));
    return result;
  });
}

}  // namespace gingerdrift::peers
