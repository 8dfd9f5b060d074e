#pragma once

#include <http_parser.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "net/persistence.hpp"
#include "net/transport.hpp"

namespace gingerdrift::net {

/// Sets the maximum header size of all messages that servers and clients of this process parse.
void set_max_header_bytes(std::uint32_t bytes);

/// The state of the message that a parser reads.
enum class parse_state { incomplete, complete, malformed, body_too_large };

/// The result of one call of message_parser::parse().
struct parse_result {
  parse_state state = parse_state::incomplete;
  /// The number of bytes that belong to the message; those after it belong to the next message. 0
  /// unless the message is complete.
  std::size_t consumed = 0;
};

/// Incremental HTTP/1.1 parser that stops after each message. Common base of the parsers of
/// requests and responses. Must be used on the thread of its connection.
class message_parser {
 public:
  message_parser(const message_parser&) = delete;
  message_parser& operator=(const message_parser&) = delete;

  /// Parses further bytes of the current message. Bytes after its end are neither parsed nor
  /// stored.
  parse_result parse(std::string_view bytes);
  /// Reports whether the sender of the last complete message keeps the connection open.
  connection_persistence persistence() const { return persistence_; }

 protected:
  message_parser(http_parser_type type, std::size_t max_body_bytes);
  ~message_parser() = default;

  /// Discards the body and the result of the last message.
  void clear_message();
  /// Resets the parser to the beginning of a stream.
  void restart_stream();
  const http_parser& parser() const { return parser_; }
  /// Returns the body and leaves it empty in the parser.
  std::string take_body() { return std::exchange(body_, {}); }

 private:
  /// Returns the message_parser that `parser` belongs to.
  static message_parser& owner_of(const http_parser* parser) {
    return *static_cast<message_parser*>(parser->data);
  }
  static const http_parser_settings& callbacks();

  /// Called with a part of the request target; parts arrive in order.
  virtual void on_target(std::string_view /*piece*/) {}
  /// Called with the name of a header field; its value follows.
  virtual void on_header_name(std::string_view /*name*/) {}
  /// Called with the value of the last named header field.
  virtual void on_header_value(std::string_view /*value*/) {}
  /// Called with a part of the body. Returns continue_parsing or abort_parsing.
  int on_body(std::string_view bytes);
  /// Called at the end of a message. Returns continue_parsing.
  int on_message_complete();

  http_parser_type type_;
  std::size_t max_body_bytes_;
  http_parser parser_{};
  std::string body_;
  bool body_too_large_ = false;
  bool complete_ = false;
  connection_persistence persistence_ = connection_persistence::keep_alive;
};

/// Parses the requests of one connection. After a malformed request or one whose body is too
/// large, all further parsing fails.
class request_parser final : public message_parser {
 public:
  explicit request_parser(std::size_t max_body_bytes);

  /// Prepares to parse the next request.
  void start_message();
  /// Returns the complete request and removes it from the parser.
  request take_request();

 private:
  void on_target(std::string_view piece) override { target_.append(piece); }

  std::string target_;
};

/// Parses responses. Each is parsed as if it were the first on its connection.
class response_parser final : public message_parser {
 public:
  explicit response_parser(std::size_t max_body_bytes);

  /// Prepares to parse the response to a new request.
  void start_message();
  /// Returns the complete response and removes its body from the parser.
  response take_response();

 private:
  void on_header_name(std::string_view name) override { header_name_.assign(name); }
  void on_header_value(std::string_view value) override;

  std::string header_name_;  // name of the field whose value follows
  std::optional<seconds> retry_after_;
};

}  // namespace gingerdrift::net
