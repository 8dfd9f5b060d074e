#include "net/message_writer.hpp"

namespace gingerdrift::net {

namespace {

/// Returns the header fields that requests and responses have in common, each with its line ending.
std::string content_fields(const std::string& body) {
  return "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n";
}

const char* reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

}  // namespace

std::string write_request(const request& message, const std::string& host) {
  return message.method + " " + message.target + " HTTP/1.1\r\nHost: " + host + "\r\n" +
         content_fields(message.body) + "\r\n" + message.body;
}

std::string write_response(const response& result, connection_persistence persistence) {
  std::string text = "HTTP/1.1 " + std::to_string(result.status) + " " +
                     reason_phrase(result.status) + "\r\n" + content_fields(result.body);
  if (result.retry_after)
    text += "Retry-After: " + std::to_string(result.retry_after->count()) + "\r\n";
  if (persistence == connection_persistence::close) text += "Connection: close\r\n";
  text += "\r\n";
  text += result.body;
  return text;
}

}  // namespace gingerdrift::net
