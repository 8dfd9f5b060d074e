#include "front/front.hpp"

#include <spdlog/spdlog.h>

namespace gingerdrift::front {

using store::job_status;

namespace {
constexpr auto retry_after = seconds(1);

const char* state_name(const progress& at) {
  if (at.status != job_status::active) return store::status_name(at.status);
  return at.running > 0 ? "running" : "pending";
}
}  // namespace

void final_cache::insert(const std::string& id, const store::final_state& end) {
  if (!states_.emplace(id, end).second) return;
  order_.push_back(id);
  if (order_.size() > most_) {
    states_.erase(order_.front());
    order_.pop_front();
  }
}

front::front(net::runtime& runtime, store::client& store, options how,
             std::vector<daemon::team> teams, hooks events)
    : runtime_(runtime),
      store_(store),
      how_(how),
      teams_(std::move(teams)),
      events_(std::move(events)),
      finals_(how.final_cache) {}

front::~front() { *alive_ = false; }

void front::later(const net::reply_fn& reply, const char* why) {
  spdlog::debug("told to come back later why=\"{}\"", why);
  // The connection ends with it, so that the next try may reach another controller.
  reply({503, write_error(why), retry_after, true});
}

void front::handle(const net::request& message, bool forwarded, const net::reply_fn& reply) {
  const auto query = message.target.find('?');
  const std::string path = message.target.substr(0, query);
  const auto wrong_method = [&] {
    reply({405, write_error("method not allowed"), std::nullopt, false});
  };
  if (path == "/healthz") {
    if (message.method != "GET") return wrong_method();
    if (events_.healthy()) {
      reply({200, R"({"status":"ok"})", std::nullopt, false});
    } else {
      reply({503, write_error("the state service does not answer here"), retry_after, false});
    }
    return;
  }
  if (path == "/status") {
    if (message.method != "GET") return wrong_method();
    reply({200, events_.status(), std::nullopt, false});
    return;
  }
  static const std::string root = "/work";
  if (path == root) {
    if (message.method != "POST") return wrong_method();
    submit(message, forwarded, reply);
    return;
  }
  if (path.rfind(root + "/", 0) == 0) {
    std::string id = path.substr(root.size() + 1);
    static const std::string ending = "/withdraw";
    const bool cancels = id.size() > ending.size() &&
                         id.compare(id.size() - ending.size(), ending.size(), ending) == 0;
    if (cancels) id.resize(id.size() - ending.size());
    if (valid_id(id)) {
      if (message.method != (cancels ? "POST" : "GET")) return wrong_method();
      if (cancels) {
        withdraw(id, message, forwarded, reply);
      } else {
        poll(id, message, forwarded, reply);
      }
      return;
    }
  }
  reply({404, write_error("no such thing"), std::nullopt, false});
}

void front::submit(const net::request& message, bool forwarded, const net::reply_fn& reply) {
  parsed_job asked = read_job(message.body);
  if (asked.status != 0) {
    spdlog::debug("submission refused why=\"{}\" body={}", asked.why, message.body);
    reply({asked.status, write_error(asked.why), std::nullopt, false});
    return;
  }
  const std::string id = asked.spec.id;
  if (const auto final_state = finals_.find(id)) {
    reply({200, write_state(id, store::status_name(final_state->status)), std::nullopt, false});
    return;
  }
  const auto& types = events_.types();
  if (types.empty()) return later(reply, "machine types are not known yet");
  const std::string why_not = impossible(asked.spec, teams_, types);
  if (!why_not.empty()) {
    // A job that was accepted once is never refused, even if types or limits have changed since.
    store_.get(store::head_key(id), [this, id, why_not, reply,
                                     alive = alive_](const store::result& head) {
      if (!*alive) return;
      if (head.status != 404 && !head.ok())
        return later(reply, "the state service does not answer");
      if (head.ok()) return known_again(id, reply);
      store_.get(store::final_key(id), [id, why_not, reply](const store::result& last) {
        if (last.ok() && !last.entries.empty()) {
          const auto status = store::read_final(last.entries.front().value);
          reply({200,
                 write_state(id, store::status_name(status ? status->status : job_status::active)),
                 std::nullopt, false});
        } else if (last.status == 404) {
          reply({422, write_error(why_not), std::nullopt, false});
        } else {
          later(reply, "the state service does not answer");
        }
      });
    });
    return;
  }
  // The buffer before the store is small; when it is full the user hears so at once.
  if (waiting_ >= how_.waiting_submissions) return later(reply, "too many submissions");
  ++waiting_;
  const auto created =
      std::chrono::duration_cast<milliseconds>(runtime_.wall_now().time_since_epoch()).count();
  store_.txn(
      {{store::head_key(id), 0}, {store::final_key(id), 0}},
      {{store::head_key(id), store::write_new(asked.spec, created, how_.unit_tasks), 0, false}},
      [this, id, message, forwarded, reply, lane = asked.spec.lane, tasks = asked.spec.tasks,
       alive = alive_](const store::result& answer) {
        if (!*alive) return;
        --waiting_;
        if (answer.ok()) {
          spdlog::debug("accepted job={} lane={} tasks={}", id, lane, tasks);
          events_.submitted(id);
          reply({201, write_state(id, "pending"), std::nullopt, false});
        } else if (answer.status == 409) {
          known_again(id, reply);
        } else if (!forwarded && answer.status != 429) {
          // This node may be the only one that the store refuses.
          events_.pass_on(message, [reply](const net::response& theirs) {
            if (theirs.status == 0) return later(reply, "the state service does not answer");
            reply(theirs);
          });
        } else {
          later(reply, "the state service does not answer");
        }
      });
}

void front::known_again(const std::string& id, const net::reply_fn& reply) {
  if (events_.leads()) {
    if (const auto at = events_.known(id)) {
      reply({200, write_state(id, state_name(*at)), std::nullopt, false});
      return;
    }
  }
  read_state(id, [reply](const net::response& found) {
    // A record must be there; if it can't be read, the user asks again.
    if (found.status == 404) return later(reply, "undecided");
    reply(found);
  });
}

/// The state from the store: the head first, then the final record. Records move only that way, so
/// a job can't be missed between the two.
void front::read_state(const std::string& id, const net::reply_fn& reply) {
  store_.get_for_user(store::head_key(id), [this, id, reply,
                                            alive = alive_](const store::result& head) {
    if (!*alive) return;
    if (head.ok() && !head.entries.empty()) {
      try {
        const auto one = store::read_head(head.entries.front().value, head.entries.front().version);
        progress at;
        at.status = one.status;
        at.done = one.status == job_status::done ? one.spec.tasks : one.done.count();
        at.running = static_cast<std::uint32_t>(one.attempts.size());
        // Its user is told once its tasks are gone, which the final record says.
        if (how_.confirms_when_gone && at.status == job_status::cancelled)
          at.status = job_status::active;
        if (at.status != job_status::active) at.running = 0;
        reply({200, write_progress(id, state_name(at), at.done, at.running), std::nullopt, false});
      } catch (const std::exception& error) {
        spdlog::error("job record is malformed job={}: {}", id, error.what());
        later(reply, "the record can't be read");
      }
      return;
    }
    if (head.status != 404) return later(reply, "the state service does not answer");
    store_.get_for_user(store::final_key(id), [this, id, reply, alive](const store::result& last) {
      if (!*alive) return;
      if (last.ok() && !last.entries.empty()) {
        const auto end = store::read_final(last.entries.front().value);
        if (!end) return later(reply, "the record can't be read");
        finals_.insert(id, *end);
        reply({200, write_progress(id, store::status_name(end->status), end->done, 0), std::nullopt,
               false});
      } else if (last.status == 404) {
        reply({404, write_error("no such job"), std::nullopt, false});
      } else {
        later(reply, "the state service does not answer");
      }
    });
  });
}

void front::poll(const std::string& id, const net::request& message, bool forwarded,
                 const net::reply_fn& reply) {
  if (const auto final_state = finals_.find(id)) {
    reply({200, write_progress(id, store::status_name(final_state->status), final_state->done, 0),
           std::nullopt, false});
    return;
  }
  if (events_.leads()) {
    if (const auto at = events_.known(id)) {
      reply({200, write_progress(id, state_name(*at), at->done, at->running), std::nullopt, false});
    } else {
      read_state(id, reply);
    }
    return;
  }
  if (forwarded) return later(reply, "not the leader");
  events_.forward(message, [this, id, reply, alive = alive_](const net::response& theirs) {
    if (!*alive) return;
    if (theirs.status == 200 || theirs.status == 404) {
      reply(theirs);
      return;
    }
    read_state(id, reply);
  });
}

void front::withdraw(const std::string& id, const net::request& message, bool forwarded,
                     const net::reply_fn& reply) {
  if (const auto final_state = finals_.find(id)) {
    reply({200, write_state(id, store::status_name(final_state->status)), std::nullopt, false});
    return;
  }
  if (events_.leads()) {
    if (events_.known(id)) {
      events_.cancel(id, [id, reply](std::optional<job_status> status) {
        if (!status) return later(reply, "not confirmed yet");
        reply({200, write_state(id, store::status_name(*status)), std::nullopt, false});
      });
      return;
    }
    // Not in memory: over, never submitted, or so new that the leader has yet to read it.
    read_state(id, [this, id, reply, alive = alive_](const net::response& found) {
      if (!*alive) return;
      if (found.status == 200) {
        if (const auto end = finals_.find(id)) {
          reply({200, write_state(id, store::status_name(end->status)), std::nullopt, false});
          return;
        }
        events_.submitted(id);
        return later(reply, "just submitted");
      }
      reply(found);
    });
    return;
  }
  if (forwarded) return later(reply, "not the leader");
  events_.forward(message, [reply](const net::response& theirs) {
    if (theirs.status == 0) return later(reply, "no leader answers");
    reply(theirs);
  });
}

}  // namespace gingerdrift::front
