#include "api/job_state_reader.hpp"

#include <spdlog/spdlog.h>

#include <stdexcept>

#include "api/responses.hpp"

namespace gingerdrift::api {

job_state_reader::job_state_reader(net::runtime& runtime, kvstore::client& store,
                                   terminal_state_cache& terminal_states,
                                   job_store::cancellation_acknowledgement cancellation)
    : runtime_(runtime),
      store_(store),
      terminal_states_(terminal_states),
      cancellation_(cancellation) {}

void job_state_reader::read_key(const std::string& key, const net::reply_fn& reply,
                                present_fn present, absent_fn absent) {
  const auto answered = [this, reply, present = std::move(present),
                         absent = std::move(absent)](const kvstore::result& answer) {
    if (answer.has_entry()) return present(answer);
    if (!answer.not_found()) return retry_later(reply, retry_reason::state_service_silent);
    if (outdated(answer)) return retry_later(reply, retry_reason::record_outdated);
    absent();
  };
  store_.get_for_user(key, guard_.wrap(answered));
}

/// What a reading shows was so when it was asked for. It may have lain here while the process stood
/// still; all but a final state may have changed meanwhile, and others may have told so.
bool job_state_reader::outdated(const kvstore::result& reading) const {
  return runtime_.now() - reading.sent > longest_answer_age;
}

/// The final record first: it never changes, whatever else there is. Where there is none, the head;
/// and where that is missing too, the job has moved between the two readings or was never accepted.
void job_state_reader::read(const job_id& id, const net::reply_fn& reply) {
  read_final(id, reply, [this, id, reply] { read_head(id, reply); });
}

void job_state_reader::read_final(const job_id& id, const net::reply_fn& reply, absent_fn absent) {
  read_key(
      job_store::final_key(id), reply,
      [this, id, reply](const kvstore::result& reading) {
        reply_from_final(id, reading.entries.front(), reply);
      },
      std::move(absent));
}

void job_state_reader::read_head(const job_id& id, const net::reply_fn& reply) {
  read_key(
      job_store::head_key(id), reply,
      [this, id, reply](const kvstore::result& reading) { reply_from_head(id, reading, reply); },
      [this, id, reply] { read_final_again(id, reply); });
}

void job_state_reader::read_final_again(const job_id& id, const net::reply_fn& reply) {
  read_final(id, reply, [reply] { reply_error(reply, 404, "no such job"); });
}

void job_state_reader::reply_from_head(const job_id& id, const kvstore::result& reading,
                                       const net::reply_fn& reply) const {
  if (outdated(reading)) return retry_later(reply, retry_reason::record_outdated);
  const kvstore::entry& head = reading.entries.front();
  try {
    const auto record = job_store::decode_head(head.value, head.version);
    if (record.spec().id != id) throw std::invalid_argument("it names another job");
    reply_state(id, job_store::state_in_record(record, cancellation_), reply);
  } catch (const std::exception& error) {
    spdlog::error("record_malformed kind=head key={} error=\"{}\"", head.key, error.what());
    retry_later(reply, retry_reason::record_unreadable);
  }
}

void job_state_reader::reply_from_final(const job_id& id, const kvstore::entry& record,
                                        const net::reply_fn& reply) {
  const auto state = job_store::try_decode_final(record.value);
  if (!state) {
    spdlog::error("record_malformed kind=final key={}", record.key);
    return retry_later(reply, retry_reason::record_unreadable);
  }
  check_no_head(id, *state, reply);
}

/// The write that brings a final record takes the head away. Both at once is nothing that this
/// service writes, and neither is trusted then.
void job_state_reader::check_no_head(const job_id& id, const job_store::terminal_state& state,
                                     const net::reply_fn& reply) {
  read_key(
      job_store::head_key(id), reply,
      [reply](const kvstore::result& reading) {
        spdlog::error("records_contradictory key={}", reading.entries.front().key);
        retry_later(reply, retry_reason::records_contradict);
      },
      [this, id, state, reply] {
        terminal_states_.insert(id, state);
        reply_state(id, state, reply);
      });
}

}  // namespace gingerdrift::api
