#include "front/state_reader.hpp"

#include <spdlog/spdlog.h>

#include "front/answers.hpp"
#include "front/wire.hpp"

namespace gingerdrift::front {

state_reader::state_reader(store::client& store, final_cache& finals, store::cancellation_told told)
    : store_(store), finals_(finals), told_(told) {}

state_reader::~state_reader() { *alive_ = false; }

void state_reader::read_key(const std::string& key, const net::reply_fn& reply, found_fn found,
                            std::function<void()> absent) {
  store_.get_for_user(key, [reply, found = std::move(found), absent = std::move(absent),
                            alive = alive_](const store::result& answer) {
    if (!*alive) return;
    if (answer.status == 404) return absent();
    if (!answer.ok() || answer.entries.empty())
      return reply_later(reply, "the state service does not answer");
    found(answer.entries.front());
  });
}

/// The final record first: it never changes, whatever else there is. Where there is none, the head;
/// and where that is missing too, the job has moved between the two readings or was never accepted.
void state_reader::read(const std::string& id, const net::reply_fn& reply) {
  read_key(
      store::final_key(id), reply,
      [this, id, reply](const store::entry& record) { reply_from_final(id, record, reply); },
      [this, id, reply] { read_head(id, reply); });
}

void state_reader::read_head(const std::string& id, const net::reply_fn& reply) {
  read_key(
      store::head_key(id), reply,
      [this, id, reply](const store::entry& head) { reply_from_head(id, head, reply); },
      [this, id, reply] { read_final_again(id, reply); });
}

void state_reader::read_final_again(const std::string& id, const net::reply_fn& reply) {
  read_key(
      store::final_key(id), reply,
      [this, id, reply](const store::entry& record) { reply_from_final(id, record, reply); },
      [reply] {
        reply({404, write_error("no such job"), std::nullopt, false});
      });
}

void state_reader::reply_from_head(const std::string& id, const store::entry& head,
                                   const net::reply_fn& reply) const {
  try {
    const auto record = store::read_head(head.value, head.version);
    if (record.spec.id != id) throw std::invalid_argument("it names another job");
    reply_state(id, store::state_in_record(record, told_), reply);
  } catch (const std::exception& error) {
    spdlog::error("head record is malformed key={}: {}", head.key, error.what());
    reply_later(reply, "the record can't be read");
  }
}

void state_reader::reply_from_final(const std::string& id, const store::entry& record,
                                    const net::reply_fn& reply) {
  const auto end = store::read_final(record.value);
  if (!end) {
    spdlog::error("final record is malformed key={}", record.key);
    return reply_later(reply, "the record can't be read");
  }
  check_no_head(id, *end, reply);
}

/// The write that brings a final record takes the head away. Both at once is nothing that this
/// service writes, and neither is trusted then.
void state_reader::check_no_head(const std::string& id, const store::stored_end& end,
                                 const net::reply_fn& reply) {
  read_key(
      store::head_key(id), reply,
      [reply](const store::entry& head) {
        spdlog::error("head beside a final record key={}", head.key);
        reply_later(reply, "its records contradict each other");
      },
      [this, id, end, reply] {
        finals_.insert(id, end);
        reply_state(id, end, reply);
      });
}

}  // namespace gingerdrift::front
