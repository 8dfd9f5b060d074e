#include "net/message_parser.hpp"

#include <strings.h>

#include <charconv>
#include <utility>

namespace gingerdrift::net {

namespace {

// Return values of http_parser callbacks.
constexpr int continue_parsing = 0;
constexpr int abort_parsing = 1;

}  // namespace

void set_max_header_bytes(std::uint32_t bytes) { http_parser_set_max_header_size(bytes); }

message_parser::message_parser(http_parser_type type, std::size_t max_body_bytes)
    : type_(type), max_body_bytes_(max_body_bytes) {
  parser_.data = this;
  restart_stream();
}

const http_parser_settings& message_parser::callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings callbacks{};
    callbacks.on_url = [](http_parser* parser, const char* piece, std::size_t size) {
      owner_of(parser).on_target({piece, size});
      return continue_parsing;
    };
    callbacks.on_header_field = [](http_parser* parser, const char* name, std::size_t size) {
      owner_of(parser).on_header_name({name, size});
      return continue_parsing;
    };
    callbacks.on_header_value = [](http_parser* parser, const char* value, std::size_t size) {
      owner_of(parser).on_header_value({value, size});
      return continue_parsing;
    };
    callbacks.on_body = [](http_parser* parser, const char* bytes, std::size_t size) {
      return owner_of(parser).on_body({bytes, size});
    };
    callbacks.on_message_complete = [](http_parser* parser) {
      return owner_of(parser).on_message_complete();
    };
    return callbacks;
  }();
  return settings;
}

int message_parser::on_body(std::string_view bytes) {
  if (body_.size() + bytes.size() > max_body_bytes_) {
    body_too_large_ = true;
    return abort_parsing;
  }
  body_.append(bytes);
  return continue_parsing;
}

int message_parser::on_message_complete() {
  complete_ = true;
  persistence_ = http_should_keep_alive(&parser_) != 0 ? connection_persistence::keep_alive
                                                       : connection_persistence::close;
  // Without the pause, the parser would continue with the next message.
  http_parser_pause(&parser_, 1);
  return continue_parsing;
}

parse_result message_parser::parse(std::string_view bytes) {
  const std::size_t consumed =
      http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
  if (complete_) {
    http_parser_pause(&parser_, 0);
    return {parse_state::complete, consumed};
  }
  if (HTTP_PARSER_ERRNO(&parser_) == HPE_OK) return {};
  return {body_too_large_ ? parse_state::body_too_large : parse_state::malformed, 0};
}

void message_parser::clear_message() {
  body_ = {};
  body_too_large_ = false;
  complete_ = false;
}

void message_parser::restart_stream() { http_parser_init(&parser_, type_); }

request_parser::request_parser(std::size_t max_body_bytes)
    : message_parser(HTTP_REQUEST, max_body_bytes) {}

void request_parser::start_message() {
  clear_message();
  target_ = {};
}

request request_parser::take_request() {
  request message;
  message.method = http_method_str(static_cast<http_method>(parser().method));
  message.target = std::exchange(target_, {});
  message.body = take_body();
  return message;
}

response_parser::response_parser(std::size_t max_body_bytes)
    : message_parser(HTTP_RESPONSE, max_body_bytes) {}

void response_parser::on_header_value(std::string_view value) {
  if (strcasecmp(header_name_.c_str(), "retry-after") != 0) return;
  int delay = 0;
  const auto parsed = std::from_chars(value.data(), value.data() + value.size(), delay);
  if (parsed.ec == std::errc() && delay >= 0) retry_after_ = seconds(delay);
}

void response_parser::start_message() {
  clear_message();
  restart_stream();
  header_name_.clear();
  retry_after_.reset();
}

response response_parser::take_response() {
  response result;
  result.status = static_cast<int>(parser().status_code);
  result.body = take_body();
  result.retry_after = retry_after_;
  return result;
}

}  // namespace gingerdrift::net
