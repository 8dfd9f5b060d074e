#include "api/job_state_reader.hpp"

#include <spdlog/spdlog.h>

#include <stdexcept>

#include "api/responses.hpp"

namespace gingerdrift::api {

namespace {
retry_reason reason_of(const kvstore::result& failed_read) {
  return failed_read.rate_limited() ? retry_reason::state_service_budget_used_up
                                    : retry_reason::state_service_unreachable;
}
}  // namespace

job_state_reader::job_state_reader(net::runtime& runtime, kvstore::client& store,
                                   terminal_state_cache& terminal_states,
                                   answer_statistics& statistics,
                                   job_store::cancellation_acknowledgement cancellation)
    : runtime_(runtime),
      store_(store),
      terminal_states_(terminal_states),
      statistics_(statistics),
      cancellation_(cancellation) {}

void job_state_reader::read_key(const std::string& key, const net::reply_fn& reply,
                                present_fn on_present, absent_fn on_absent) {
  const auto handle_result = [this, reply, on_present = std::move(on_present),
                              on_absent =
                                  std::move(on_absent)](const kvstore::result& store_result) {
    if (store_result.has_entry()) return on_present(store_result);
    if (!store_result.not_found()) return retry_later(statistics_, reply, reason_of(store_result));
    if (is_outdated(store_result))
      return retry_later(statistics_, reply, retry_reason::record_outdated);
    on_absent();
  };
  store_.get_for_user(key, guard_.wrap(handle_result));
}

/// Reports whether a result is too old to answer from. A result reflects the state of the key at
/// some time after the request was sent. If the process stalled before it handled the result, any
/// state except a terminal one may have changed since, and other controllers may already have shown
/// users the newer state.
bool job_state_reader::is_outdated(const kvstore::result& read_result) const {
  return runtime_.now() - read_result.sent > max_response_age;
}

/// Reads the final record first, because it never changes. If there is none, reads the head. If the
/// head is missing too, either the final record replaced it between the two reads or the job was
/// never accepted, so the final record is read once more.
void job_state_reader::read(const job_id& id, const net::reply_fn& reply) {
  read_final(id, reply, [this, id, reply] { read_head(id, reply); });
}

void job_state_reader::read_final(const job_id& id, const net::reply_fn& reply,
                                  absent_fn on_absent) {
  read_key(
      job_store::final_key(id), reply,
      [this, id, reply](const kvstore::result& read_result) {
        reply_from_final(id, read_result.entries.front(), reply);
      },
      std::move(on_absent));
}

void job_state_reader::read_head(const job_id& id, const net::reply_fn& reply) {
  read_key(
      job_store::head_key(id), reply,
      [this, id, reply](const kvstore::result& read_result) {
        reply_from_head(id, read_result, reply);
      },
      [this, id, reply] { read_final_again(id, reply); });
}

void job_state_reader::read_final_again(const job_id& id, const net::reply_fn& reply) {
  read_final(id, reply, [reply] { reply_error(reply, 404, "no such job"); });
}

void job_state_reader::reply_from_head(const job_id& id, const kvstore::result& read_result,
                                       const net::reply_fn& reply) {
  if (is_outdated(read_result))
    return retry_later(statistics_, reply, retry_reason::record_outdated);
  const kvstore::entry& head = read_result.entries.front();
  try {
    const auto record = job_store::decode_head(head.value, head.version);
    if (record.spec().id != id) throw std::invalid_argument("it names another job");
    statistics_.answers.add(answer_source::stored_record);
    reply_state(statistics_, id, job_store::state_in_record(record, cancellation_), reply);
  } catch (const std::exception& error) {
    spdlog::error("record_malformed kind=head key={} error=\"{}\"", head.key, error.what());
    retry_later(statistics_, reply, retry_reason::record_unreadable);
  }
}

void job_state_reader::reply_from_final(const job_id& id, const kvstore::entry& record,
                                        const net::reply_fn& reply) {
  const auto state = job_store::try_decode_final(record.value);
  if (!state) {
    spdlog::error("record_malformed kind=final key={}", record.key);
    return retry_later(statistics_, reply, retry_reason::record_unreadable);
  }
  reply_unless_head_exists(id, *state, reply);
}

/// Replies with the terminal state unless the job still has a head. The transaction that writes a
/// final record also deletes the head, so this service never leaves both. If both exist, neither is
/// trusted.
void job_state_reader::reply_unless_head_exists(const job_id& id,
                                                const job_store::terminal_state& state,
                                                const net::reply_fn& reply) {
  read_key(
      job_store::head_key(id), reply,
      [this, reply](const kvstore::result& read_result) {
        spdlog::error("records_contradictory key={}", read_result.entries.front().key);
        retry_later(statistics_, reply, retry_reason::records_contradict);
      },
      [this, id, state, reply] {
        terminal_states_.insert(id, state);
        statistics_.answers.add(answer_source::stored_record);
        reply_state(statistics_, id, state, reply);
      });
}

}  // namespace gingerdrift::api
