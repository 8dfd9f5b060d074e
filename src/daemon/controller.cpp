#include "daemon/controller.hpp"

#include <spdlog/spdlog.h>

#include "api/codec.hpp"
#include "leader/lease_policy.hpp"

namespace gingerdrift::daemon {

namespace {
/// The store counts as unreachable if requests fail and the last answer is at least this old.
constexpr auto store_timeout = seconds(2);
/// How long a request forwarded to another controller may remain unanswered.
constexpr auto forward_deadline = milliseconds(1200);
/// Shares of the state service's rate limits that one controller may use. Two or three controllers
/// share these limits, and the leader does most of the writing.
constexpr double request_share = 0.45;
constexpr double leader_write_share = 0.75;
constexpr double non_leader_write_share = 0.4;
/// Share of the request rate that all controllers together may use to answer users' queries.
constexpr double total_user_request_share = 0.5;

kvstore::limit_shares store_shares(const config::platform_settings& platform_settings) {
  const auto controllers = static_cast<double>(platform_settings.peers.size() + 1);
  return {.requests = request_share,
          .writes = non_leader_write_share,
          .user_requests = total_user_request_share / controllers};
}
}  // namespace

controller::controller(net::runtime& runtime, leader::scheduling_executor& executor,
                       config::platform_settings platform_settings,
                       config::operator_settings operator_settings, std::uint64_t seed)
    : runtime_(runtime),
      executor_(executor),
      platform_settings_(std::move(platform_settings)),
      operator_settings_(std::move(operator_settings)),
      store_(runtime, platform_settings_.state, platform_settings_.state_limits,
             platform_settings_.announced_state_limits, store_shares(platform_settings_)),
      api_(runtime, store_, api_options(), platform_settings_.teams, *this),
      peers_(runtime, platform_settings_.node, peer_addresses(), peer_callbacks()),
      elector_(runtime, store_, elector_options(), seed, elector_callbacks()),
      delegate_(runtime, store_,
                {platform_settings_.node, platform_settings_.zone,
                 leader::renewal_grace(platform_settings_)},
                delegate_callbacks()),
      versions_(runtime, store_, platform_settings_.node, all_nodes()),
      machine_types_(runtime, store_, platform_settings_.cloud),
      heartbeat_router_(runtime, platform_settings_, elector_, delegate_, metrics_,
                        router_callbacks()),
      watchdog_(runtime, platform_settings_.worker_heartbeat_interval, peers_, elector_, metrics_,
                [this] { return is_leader() ? term_.get() : nullptr; }),
      status_logger_(runtime, status_callbacks()),
      query_failure_logger_(runtime, api_.statistics(), [this] { return known_leader(); }),
      slow_turn_logger_(metrics_) {}

controller::~controller() { term_.reset(); }

void controller::start() {
  peers_.start();
  elector_.start();
  delegate_.start();
  versions_.start();
  machine_types_.start();
  watchdog_.start();
  status_logger_.start();
  query_failure_logger_.start();
}

api::options controller::api_options() const {
  const auto sizes = kvstore::writable_sizes(platform_settings_.state_limits,
                                             platform_settings_.announced_state_limits);
  return {.submissions = {operator_settings_.max_waiting_submissions, sizes},
          .terminal_cache_capacity = operator_settings_.terminal_state_cache_size,
          .cancellation = leader::acknowledgement_of_cancellations(platform_settings_),
          .node = platform_settings_.node};
}

std::map<node_name, std::string> controller::peer_addresses() const {
  std::map<node_name, std::string> addresses;
  for (const auto& peer : platform_settings_.peers) addresses[peer.node] = peer.address;
  return addresses;
}

std::vector<node_name> controller::all_nodes() const {
  std::vector<node_name> nodes = {platform_settings_.node};
  for (const auto& peer : platform_settings_.peers) nodes.push_back(peer.node);
  return nodes;
}

leadership::options controller::elector_options() const {
  return {.node = platform_settings_.node,
          .lease_duration = operator_settings_.leader_lease,
          .renewal_grace = leader::renewal_grace(platform_settings_)};
}

peers::peer_network::hooks controller::peer_callbacks() {
  return {.handle_user_request =
              [this](const net::request& message, const net::reply_fn& reply) {
                api_.handle(message, true, reply);
              },
          .job_announced = [this](const job_id& job) { fetch_announced_job(job); },
          .store_reachable = [this] { return store_reachable(); },
          .heartbeats_seen = [this] { return heartbeat_router_.recent_redirects(); },
          .leader = [this] { return known_leader(); },
          .leader_observed = [this](const node_name& node,
                                    fencing_token token) { elector_.observe_leader(node, token); }};
}

leadership::leader_elector::callbacks controller::elector_callbacks() {
  return {.elected = [this](fencing_token token,
                            const kvstore::condition& leader) { begin_term(token, leader); },
          .stepped_down = [this] { end_term(); }};
}

leader::leader_term::callbacks controller::term_callbacks() {
  return {
      .deposed = [this] { elector_.handle_leader_key_loss(); },
      .lease_valid = [this] { return elector_.lease_valid(); },
      .finished = [this](
                      const job_id& id,
                      const job_store::terminal_state& end) { api_.cache_terminal_state(id, end); },
      .cached_terminal_state = [this](const job_id& id) { return api_.cached_terminal_state(id); }};
}

workers::lease_delegate::hooks controller::delegate_callbacks() {
  return {.leader =
              [this] {
                const node_name& leader = elector_.leader().node;
                return workers::leader_contact{leader, is_reachable(leader)};
              },
          .zone_of = [this](const node_name& node) { return zone_of(node); }};
}

heartbeat_router::callbacks controller::router_callbacks() {
  return {.term = [this] { return term_.get(); },
          .store_reachable = [this] { return store_reachable(); }};
}

status_logger::callbacks controller::status_callbacks() {
  return {.is_leader = [this] { return is_leader(); }, .status = [this] { return status(); }};
}

void controller::begin_term(fencing_token token, const kvstore::condition& leader) {
  store_.set_write_share(leader_write_share);
  term_ = std::make_unique<leader::leader_term>(
      leader::term_environment{.runtime = runtime_,
                               .store = store_,
                               .executor = executor_,
                               .platform = platform_settings_,
                               .operator_settings = operator_settings_,
                               .controller_metrics = metrics_},
      token, leader, machine_types_.types(), term_callbacks());
  term_->start();
}

void controller::end_term() {
  store_.set_write_share(non_leader_write_share);
  term_.reset();
}

void controller::fetch_announced_job(const job_id& job) {
  if (is_leader() && api::is_valid_job_id(job.str())) term_->fetch_job(job);
}

/// Reports whether a peer has recently answered a heartbeat. A node that is not a peer, such as
/// this node itself, counts as reachable.
bool controller::is_reachable(const node_name& node) const {
  const auto peer = peers_.peers().find(node);
  return peer == peers_.peers().end() || peers_.recently_seen(peer->second);
}

zone_name controller::zone_of(const node_name& node) const {
  for (const auto& peer : platform_settings_.peers) {
    if (peer.node == node) return peer.zone;
  }
  return {};
}

std::optional<job_store::job_state> controller::state_of(const job_id& job) {
  return term_ ? term_->state_of(job) : std::nullopt;
}

void controller::cancel(const job_id& job, cancelled_fn done) {
  if (!term_) return done(std::nullopt);
  term_->cancel(job, std::move(done));
}

void controller::notify_leader_of_job(const job_id& job) {
  if (is_leader()) {
    term_->fetch_job(job);
  } else if (!elector_.leader().node.empty()) {
    peers_.announce(elector_.leader().node, job);
  }
}

bool controller::healthy() const {
  if (store_reachable()) return true;
  // If no controller can reach the store, users gain nothing from being sent to another controller,
  // so this one still reports itself healthy. A node that can reach neither the store nor any peer,
  // however, is most likely the one that is cut off.
  bool isolated = !peers_.peers().empty();
  for (const auto& [node, peer] : peers_.peers()) {
    if (!peers_.recently_seen(peer)) continue;
    if (peer.store_reachable) return false;
    isolated = false;
  }
  return !isolated;
}

bool controller::store_reachable() const {
  if (store_.last_unavailable_time() <= store_.last_response_time()) return true;
  return runtime_.now() - store_.last_response_time() < store_timeout;
}

void controller::report_server(const std::string& name, const net::http_server& server) {
  servers_.emplace(name, &server);
}

peers::leader_identity controller::known_leader() const {
  return {elector_.leader().node, elector_.leader().token};
}

void controller::handle_public_request(const net::request& message, const net::reply_fn& reply) {
  if (message.target == "/v1/report") {
    heartbeat_router_.handle(message, reply);
    return;
  }
  ++metrics_.user_requests;
  const stopwatch watch(metrics_.loop_activities.user_requests);
  api_.handle(message, false, reply);
}

void controller::handle_peer_request(const net::request& message, const net::reply_fn& reply) {
  const stopwatch watch(metrics_.loop_activities.peer_requests);
  peers_.handle(message, reply);
}

void controller::forward_to_leader(const net::request& message, net::reply_fn done) {
  const node_name leader = elector_.leader().node;
  if (leader.empty() || leader == platform_settings_.node) {
    done({});
    return;
  }
  peers_.forward(leader, message, forward_deadline, std::move(done));
}

void controller::forward_to_peer_with_store(const net::request& message, net::reply_fn done) {
  for (const auto& [node, peer] : peers_.peers()) {
    if (!peers_.recently_seen(peer) || !peer.store_reachable) continue;
    peers_.forward(node, message, forward_deadline, std::move(done));
    return;
  }
  done({});
}

std::string controller::status() {
  nlohmann::json report = {{"node", platform_settings_.node.str()},
                           {"version", GINGERDRIFT_VERSION},
                           {"leader", elector_.leader().node.str()},
                           {"is_leader", is_leader()},
                           {"store_reachable", store_reachable()},
                           {"dependencies_supported", dependencies_supported()}};
  add_metrics(metrics_, report);
  report["queries"] = api_.statistics().summary();
  add_peers(peers_, report);
  for (const auto& [name, server] : servers_) add_server(name, server->statistics(), report);
  if (term_) report["term"] = term_->status();
  if (!dependencies_supported())
    report["waiting_for_versions_of"] = texts_of(versions_.nodes_without_support());
  return report.dump();
}

}  // namespace gingerdrift::daemon
