#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "kvstore/types.hpp"
#include "net/transport.hpp"

/// Codec of the state service's protocol: encodes requests and decodes responses. The protocol's
/// names on the wire occur only in this codec.
namespace gingerdrift::kvstore::wire {

/// Encodes a request that reads a key.
net::request encode_get(const std::string& key);
/// Encodes a request that reads a page of at most `limit` entries whose keys have this prefix,
/// starting after the key `after` unless that is empty.
net::request encode_list(const std::string& prefix, const std::string& after, std::size_t limit);
/// Encodes a transaction, which carries out the operations if all conditions hold. It may have no
/// operations; then it only checks the conditions.
net::request encode_transaction(const std::vector<condition>& conditions,
                                const std::vector<operation>& operations);
/// Encodes a request for a new lease.
net::request encode_grant(duration ttl);
/// Encodes a request that renews a lease.
net::request encode_renew(std::uint64_t lease);
/// Encodes a request that gives up a lease.
net::request encode_drop(std::uint64_t lease);
/// Encodes a request for the changes of keys with this prefix, from the revision `from` on. While
/// there are none, the service delays its response for up to `wait`.
net::request encode_watch(const std::string& prefix, store_revision from, duration wait);

/// Decodes the response to a request that was sent at `sent`. Never throws: a malformed response is
/// logged, and the result is `no_answer`.
result decode_response(const net::response& response, time_point sent);

}  // namespace gingerdrift::kvstore::wire
