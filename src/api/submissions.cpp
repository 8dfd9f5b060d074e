#include "api/submissions.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::api {

namespace {
constexpr int accepted_status = 201;
constexpr int malformed_status = 400;
constexpr int rejected_status = 422;

/// Types that don't exist can't be used: without them a long list fits a small record.
void remove_unknown_types(job_store::job_spec& spec,
                          const std::vector<admission::machine_type>& types) {
  std::erase_if(spec.types, [&](const std::string& name) {
    return std::none_of(types.begin(), types.end(),
                        [&](const auto& type) { return type.name == name; });
  });
}

/// The job has no head: its final record tells whether it was accepted before.
void reply_from_final(const job_id& id, rejection reason, const kvstore::result& final_record,
                      const net::reply_fn& reply) {
  if (final_record.has_entry()) {
    const auto state = job_store::read_final(final_record.entries.front().value);
    if (!state) return retry_later(reply, retry_reason::record_unreadable);
    return reply_state_name(id, *state, reply);
  }
  if (final_record.not_found()) return reply_error(reply, rejected_status, text_of(reason));
  retry_later(reply, retry_reason::state_service_silent);
}
}  // namespace

submissions::submissions(const collaborators& parts, const submission_options& options,
                         std::vector<config::team> teams, node_name node)
    : runtime_(parts.runtime),
      store_(parts.store),
      options_(options),
      teams_(std::move(teams)),
      services_(parts.services),
      terminal_states_(parts.terminal_states),
      states_(parts.states),
      acceptance_(runtime_, store_, options.sizes.txn_operations),
      writer_(store_, options.sizes, std::move(node)) {}

void submissions::handle(const net::request& message, bool forwarded, const net::reply_fn& reply) {
  parsed_job parsed = parse_submission(message.body);
  if (parsed.format_error) {
    spdlog::debug("submission_rejected reason=\"{}\" body={}", *parsed.format_error, message.body);
    return reply_error(reply, malformed_status, *parsed.format_error);
  }
  const job_id id = parsed.spec.id;
  if (const auto state = terminal_states_.find(id)) return reply_state_name(id, *state, reply);
  const auto& types = services_.machine_types();
  if (types.empty()) return retry_later(reply, retry_reason::machine_types_unknown);
  const auto reason = find_rejection(parsed.spec, teams_, types);
  remove_unknown_types(parsed.spec, types);
  const auto submitted = std::make_shared<pending_submission>(
      pending_submission{message, forwarded, reply, job_announced(std::move(parsed.spec)),
                         std::move(parsed.dependencies)});
  if (reason) return reject_unless_accepted(submitted, *reason);
  // The buffer before the store is small; when it is full the user hears so at once.
  if (waiting_for_store_ >= options_.max_waiting_for_store)
    return retry_later(reply, retry_reason::too_many_submissions);
  if (submitted->dependencies.empty()) return store(submitted);
  check_dependencies(submitted);
}

job_store::job submissions::job_announced(job_store::job_spec spec) {
  const auto created =
      std::chrono::duration_cast<milliseconds>(runtime_.wall_now().time_since_epoch());
  return job_store::job_announced(std::move(spec), created.count(),
                                  kvstore::planned_value_bytes(options_.sizes));
}

/// Every name has to have been accepted. What became of those jobs is the leader's to find out.
void submissions::check_dependencies(const submission_ptr& submission) {
  const auto& dependencies = submission->dependencies;
  const job_id& id = submission->job.spec().id;
  if (std::find(dependencies.begin(), dependencies.end(), id) != dependencies.end())
    return reject_unless_accepted(submission, rejection::depends_on_itself);
  // A version that knows nothing of dependencies would leave the job waiting if it led.
  if (!services_.dependencies_supported()) {
    // A node that the store refuses alone can't know; its peers can.
    if (!services_.store_reachable()) return store_unreachable(submission);
    return retry_later(submission->reply, retry_reason::dependencies_unsupported);
  }
  ++waiting_for_store_;
  acceptance_.check(dependencies,
                    guard_.wrap([this, submission](acceptance_check::verdict verdict) {
                      --waiting_for_store_;
                      dependencies_checked(submission, verdict);
                    }));
}

void submissions::dependencies_checked(const submission_ptr& submission,
                                       acceptance_check::verdict verdict) {
  switch (verdict) {
    case acceptance_check::verdict::all_accepted:
      return store(submission);
    case acceptance_check::verdict::not_accepted:
      return reject_unless_accepted(submission, rejection::unknown_dependency);
    case acceptance_check::verdict::undecided:
      return retry_later(submission->reply, retry_reason::dependencies_undecided);
    case acceptance_check::verdict::unreachable:
      return store_unreachable(submission);
  }
}

void submissions::store(const submission_ptr& submission) {
  ++waiting_for_store_;
  writer_.write(submission->job, submission->dependencies,
                [this, submission](submission_writer::outcome outcome) {
                  --waiting_for_store_;
                  store_answered(submission, outcome);
                });
}

void submissions::store_answered(const submission_ptr& submission,
                                 submission_writer::outcome outcome) {
  switch (outcome) {
    case submission_writer::outcome::stored:
      return accepted(submission);
    case submission_writer::outcome::already_accepted:
      return answer_repeated(submission);
    case submission_writer::outcome::over_budget:
      return retry_later(submission->reply, retry_reason::state_service_silent);
    case submission_writer::outcome::unreachable:
      return store_unreachable(submission);
  }
}

void submissions::accepted(const submission_ptr& submission) {
  const auto& spec = submission->job.spec();
  spdlog::debug("job_accepted job={} lane={} tasks={} dependencies={}", spec.id, spec.lane,
                spec.tasks, submission->dependencies.size());
  acceptance_.remember(spec.id);
  services_.notify_leader_of_job(spec.id);
  reply_json(submission->reply, accepted_status, write_state(spec.id, "pending"));
}

/// This node may be the only one that the store refuses.
void submissions::store_unreachable(const submission_ptr& submission) {
  if (submission->forwarded)
    return retry_later(submission->reply, retry_reason::state_service_silent);
  services_.forward_to_peer_with_store(
      submission->message, [reply = submission->reply](const net::response& peer_reply) {
        if (peer_reply.status == 0) return retry_later(reply, retry_reason::state_service_silent);
        reply(peer_reply);
      });
}

/// A job that was accepted once is never refused, even if types or limits have changed since.
void submissions::reject_unless_accepted(const submission_ptr& submission, rejection reason) {
  const job_id id = submission->job.spec().id;
  const auto head_read = [this, id, reason, submission](const kvstore::result& head) {
    if (head.ok()) return answer_repeated(submission);
    if (!head.not_found())
      return retry_later(submission->reply, retry_reason::state_service_silent);
    store_.get(job_store::final_key(id),
               [id, reason, reply = submission->reply](const kvstore::result& final_record) {
                 reply_from_final(id, reason, final_record, reply);
               });
  };
  store_.get(job_store::head_key(id), guard_.wrap(head_read));
}

/// The job was accepted before: the answer is its state.
void submissions::answer_repeated(const submission_ptr& submission) {
  const job_id id = submission->job.spec().id;
  acceptance_.remember(id);
  if (services_.is_leader()) {
    const auto state = services_.state_of(id);
    if (state && !std::holds_alternative<job_store::indeterminate>(*state))
      return reply_state_name(id, *state, submission->reply);
  }
  // Of a job that waits for others only the leader can tell the state. It is stored, so that no
  // leader can take it anew, whatever its version.
  const bool leader_knows_more = !submission->dependencies.empty() && !submission->forwarded;
  if (!leader_knows_more || services_.is_leader()) return answer_from_store(submission);
  services_.forward_to_leader(submission->message,
                              guard_.wrap([this, submission](const net::response& leader_reply) {
                                if (leader_reply.status == 200)
                                  return submission->reply(leader_reply);
                                answer_from_store(submission);
                              }));
}

void submissions::answer_from_store(const submission_ptr& submission) {
  states_.read(submission->job.spec().id, [reply = submission->reply](const net::response& state) {
    // A record must be there; if it can't be read, the user asks again.
    if (state.status == 404) return retry_later(reply, retry_reason::record_not_seen);
    reply(state);
  });
}

}  // namespace gingerdrift::api
