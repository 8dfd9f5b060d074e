#include "api/submissions.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::api {

namespace {
constexpr int accepted_status = 201;
constexpr int malformed_status = 400;
constexpr int rejected_status = 422;

/// Removes machine types that don't exist from the spec. They can't be used, and without them a
/// long list fits into a small record.
void remove_unknown_types(job_store::job_spec& spec,
                          const std::vector<admission::machine_type>& types) {
  std::erase_if(spec.types, [&](const std::string& name) {
    return std::none_of(types.begin(), types.end(),
                        [&](const auto& type) { return type.name == name; });
  });
}
}  // namespace

submissions::submissions(const collaborators& shared, const submission_options& options,
                         std::vector<config::team> teams, node_name node)
    : runtime_(shared.runtime),
      store_(shared.store),
      options_(options),
      teams_(std::move(teams)),
      services_(shared.services),
      terminal_states_(shared.terminal_states),
      statistics_(shared.statistics),
      state_reader_(shared.state_reader),
      acceptance_(runtime_, store_, options.sizes.txn_operations),
      writer_(store_, options.sizes, std::move(node)) {}

void submissions::handle(const net::request& message, bool forwarded, const net::reply_fn& reply) {
  parsed_submission parsed = parse_submission(message.body);
  if (parsed.format_error) {
    spdlog::debug("submission_rejected reason=\"{}\" body={}", *parsed.format_error, message.body);
    return reply_error(reply, malformed_status, *parsed.format_error);
  }
  const job_id id = parsed.spec.id;
  if (const auto state = terminal_states_.find(id)) return reply_state_name(id, *state, reply);
  const auto& types = services_.machine_types();
  if (types.empty()) return retry_later(statistics_, reply, retry_reason::machine_types_unknown);
  const auto reason = find_rejection(parsed.spec, teams_, types);
  remove_unknown_types(parsed.spec, types);
  const auto submitted = std::make_shared<pending_submission>(
      pending_submission{message, forwarded, reply, create_job(std::move(parsed.spec)),
                         std::move(parsed.dependencies)});
  if (reason) return reject_unless_accepted(submitted, *reason);
  // Few submissions may wait for the store at once; further ones get 503 immediately.
  if (waiting_for_store_ >= options_.max_waiting_for_store)
    return retry_later(statistics_, reply, retry_reason::too_many_submissions);
  if (submitted->dependencies.empty()) return store(submitted);
  check_dependencies(submitted);
}

job_store::job submissions::create_job(job_store::job_spec spec) {
  const auto created =
      std::chrono::duration_cast<milliseconds>(runtime_.wall_now().time_since_epoch());
  return job_store::create_job(std::move(spec), created.count(),
                               kvstore::planned_value_bytes(options_.sizes));
}

/// Checks that every dependency was accepted. Whether these jobs have ended, and how, is determined
/// by the leader.
void submissions::check_dependencies(const submission_ptr& submission) {
  const auto& dependencies = submission->dependencies;
  const job_id& id = submission->job.spec().id;
  if (std::find(dependencies.begin(), dependencies.end(), id) != dependencies.end())
    return reject_unless_accepted(submission, rejection::depends_on_itself);
  // A leader whose version does not support dependencies would leave the job waiting.
  if (!services_.dependencies_supported()) {
    // A controller that can't reach the store can't know whether all versions support dependencies,
    // but its peers can.
    if (!services_.store_reachable()) return retry_on_peer_with_store(submission);
    return retry_later(statistics_, submission->reply, retry_reason::dependencies_unsupported);
  }
  ++waiting_for_store_;
  acceptance_.check(dependencies,
                    guard_.wrap([this, submission](acceptance_check::verdict verdict) {
                      --waiting_for_store_;
                      handle_dependency_verdict(submission, verdict);
                    }));
}

void submissions::handle_dependency_verdict(const submission_ptr& submission,
                                            acceptance_check::verdict verdict) {
  switch (verdict) {
    case acceptance_check::verdict::all_accepted:
      return store(submission);
    case acceptance_check::verdict::not_accepted:
      return reject_unless_accepted(submission, rejection::unknown_dependency);
    case acceptance_check::verdict::undecided:
      return retry_later(statistics_, submission->reply, retry_reason::dependencies_undecided);
    case acceptance_check::verdict::unreachable:
      return retry_on_peer_with_store(submission);
  }
}

void submissions::store(const submission_ptr& submission) {
  ++waiting_for_store_;
  writer_.write(submission->job, submission->dependencies,
                [this, submission](submission_writer::outcome outcome) {
                  --waiting_for_store_;
                  handle_write_outcome(submission, outcome);
                });
}

void submissions::handle_write_outcome(const submission_ptr& submission,
                                       submission_writer::outcome outcome) {
  switch (outcome) {
    case submission_writer::outcome::stored:
      return acknowledge(submission);
    case submission_writer::outcome::already_accepted:
      return reply_with_current_state(submission);
    case submission_writer::outcome::over_budget:
      return retry_later(statistics_, submission->reply, retry_reason::state_service_unreachable);
    case submission_writer::outcome::unreachable:
      return retry_on_peer_with_store(submission);
  }
}

void submissions::acknowledge(const submission_ptr& submission) {
  const auto& spec = submission->job.spec();
  spdlog::debug("job_accepted job={} lane={} tasks={} dependencies={}", spec.id, spec.lane,
                spec.tasks, submission->dependencies.size());
  acceptance_.remember(spec.id);
  services_.notify_leader_of_job(spec.id);
  reply_json(submission->reply, accepted_status, encode_state(spec.id, "pending"));
}

/// Forwards the submission to a peer that can reach the store, because this controller may be the
/// only one that can't.
void submissions::retry_on_peer_with_store(const submission_ptr& submission) {
  if (submission->forwarded)
    return retry_later(statistics_, submission->reply, retry_reason::state_service_unreachable);
  services_.forward_to_peer_with_store(
      submission->message, [this, reply = submission->reply](const net::response& peer_reply) {
        if (peer_reply.status == 0)
          return retry_later(statistics_, reply, retry_reason::state_service_unreachable);
        reply(peer_reply);
      });
}

/// Answers a submission that is to be rejected and whose job has no head. If the job has a final
/// record, it was accepted before and its state is returned; otherwise the submission is rejected.
void submissions::reply_from_final(const job_id& id, rejection reason,
                                   const kvstore::result& final_record,
                                   const net::reply_fn& reply) {
  if (final_record.has_entry()) {
    const auto state = job_store::try_decode_final(final_record.entries.front().value);
    if (!state) return retry_later(statistics_, reply, retry_reason::record_unreadable);
    return reply_state_name(id, *state, reply);
  }
  if (final_record.not_found()) return reply_error(reply, rejected_status, text_of(reason));
  retry_later(statistics_, reply, retry_reason::state_service_unreachable);
}

/// Rejects the submission unless its job was accepted before. An accepted job is never rejected
/// later, even if machine types or limits have changed since.
void submissions::reject_unless_accepted(const submission_ptr& submission, rejection reason) {
  const job_id id = submission->job.spec().id;
  const auto handle_head = [this, id, reason, submission](const kvstore::result& head) {
    if (head.ok()) return reply_with_current_state(submission);
    if (!head.not_found())
      return retry_later(statistics_, submission->reply, retry_reason::state_service_unreachable);
    store_.get(job_store::final_key(id),
               [this, id, reason, reply = submission->reply](const kvstore::result& final_record) {
                 reply_from_final(id, reason, final_record, reply);
               });
  };
  store_.get(job_store::head_key(id), guard_.wrap(handle_head));
}

/// Answers a repeated submission, whose job was accepted before, with the state of the job.
void submissions::reply_with_current_state(const submission_ptr& submission) {
  const job_id id = submission->job.spec().id;
  acceptance_.remember(id);
  if (services_.is_leader()) {
    const auto state = services_.state_of(id);
    if (state && !std::holds_alternative<job_store::indeterminate>(*state))
      return reply_state_name(id, *state, submission->reply);
  }
  // Only the leader can determine the state of a job that waits for dependencies. The job is
  // stored, so no leader of any version accepts it a second time when the submission is forwarded.
  const bool should_ask_leader = !submission->dependencies.empty() && !submission->forwarded;
  if (!should_ask_leader || services_.is_leader()) return reply_with_stored_state(submission);
  services_.forward_to_leader(submission->message,
                              guard_.wrap([this, submission](const net::response& leader_reply) {
                                if (leader_reply.status == 200)
                                  return submission->reply(leader_reply);
                                reply_with_stored_state(submission);
                              }));
}

void submissions::reply_with_stored_state(const submission_ptr& submission) {
  state_reader_.read(submission->job.spec().id,
                     [this, reply = submission->reply](const net::response& state) {
                       // The job was accepted, so a record of it must exist; if none was found, the
                       // user has to retry.
                       if (state.status == 404)
                         return retry_later(statistics_, reply, retry_reason::record_not_found);
                       reply(state);
                     });
}

}  // namespace gingerdrift::api
