#include "api/query_batch.hpp"

#include <msgpack.hpp>
#include <utility>

namespace gingerdrift::api {

const char* const query_batch_target = "/states";

namespace {

/// Returns the bytes as a value of this type; returns no value if they don't encode one.
template <typename value>
std::optional<value> unpack(const std::string& bytes) {
  try {
    return msgpack::unpack(bytes.data(), bytes.size()).get().as<value>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

template <typename value>
std::string pack(const value& object) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, object);
  return {buffer.data(), buffer.size()};
}

}  // namespace

std::string encode_query_batch(const std::vector<job_id>& jobs) {
  std::vector<std::string> names;
  names.reserve(jobs.size());
  for (const auto& job : jobs) names.push_back(job.str());
  return pack(names);
}

std::string encode_query_answers(const std::vector<query_answer>& answers) {
  std::vector<std::pair<int, std::string>> pairs;
  pairs.reserve(answers.size());
  for (const auto& answer : answers) pairs.emplace_back(answer.status, answer.body);
  return pack(pairs);
}

std::optional<std::vector<job_id>> decode_query_batch(const std::string& bytes) {
  const auto names = unpack<std::vector<std::string>>(bytes);
  if (!names) return std::nullopt;
  std::vector<job_id> jobs;
  jobs.reserve(names->size());
  for (const auto& name : *names) jobs.emplace_back(name);
  return jobs;
}

std::optional<std::vector<query_answer>> decode_query_answers(const std::string& bytes,
                                                              std::size_t count) {
  auto pairs = unpack<std::vector<std::pair<int, std::string>>>(bytes);
  if (!pairs || pairs->size() != count) return std::nullopt;
  std::vector<query_answer> answers;
  answers.reserve(count);
  for (auto& [status, body] : *pairs) answers.push_back({status, std::move(body)});
  return answers;
}

}  // namespace gingerdrift::api
