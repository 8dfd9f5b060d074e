#include "daemon/controller.hpp"

#include <spdlog/spdlog.h>

#include "api/codec.hpp"
#include "leader/lease_policy.hpp"

namespace gingerdrift::daemon {

namespace {
/// How long the store may answer nothing before this node counts as cut off from it.
constexpr auto store_patience = seconds(2);
constexpr auto forward_deadline = milliseconds(1200);
/// Of the state service's limits, what one controller may take. Two or three share them, and the
/// leader does most of the writing.
constexpr double request_share = 0.45;
constexpr double leader_write_share = 0.75;
constexpr double write_share = 0.4;
/// Of the requests, what all controllers together may spend on users' questions.
constexpr double user_share = 0.5;

kvstore::limit_shares store_shares(const config::platform_settings& platform) {
  const auto controllers = static_cast<double>(platform.peers.size() + 1);
  return {
      .requests = request_share, .writes = write_share, .user_requests = user_share / controllers};
}
}  // namespace

controller::controller(net::runtime& runtime, leader::scheduling_executor& executor,
                       config::platform_settings platform, config::operator_settings rules,
                       std::uint64_t seed)
    : runtime_(runtime),
      executor_(executor),
      platform_(std::move(platform)),
      rules_(std::move(rules)),
      store_(runtime, platform_.state, platform_.state_limits, platform_.announced_state_limits,
             store_shares(platform_)),
      api_(runtime, store_, api_options(), platform_.teams, *this),
      peers_(runtime, platform_.node, peer_addresses(), peer_callbacks()),
      elector_(runtime, store_, elector_options(), seed, elector_callbacks()),
      delegate_(runtime, store_, {platform_.node, platform_.zone, leader::renewal_grace(platform_)},
                delegate_callbacks()),
      versions_(runtime, store_, platform_.node, all_nodes()),
      machine_types_(runtime, store_, platform_.cloud),
      heartbeats_(runtime, platform_, elector_, delegate_, metrics_, router_callbacks()),
      watchdog_(runtime, platform_.worker_heartbeat_interval, peers_, elector_,
                [this] { return is_leader() ? term_.get() : nullptr; }),
      status_logger_(runtime, status_callbacks()) {}

controller::~controller() { term_.reset(); }

void controller::start() {
  peers_.start();
  elector_.start();
  delegate_.start();
  versions_.start();
  machine_types_.start();
  watchdog_.start();
  status_logger_.start();
}

api::options controller::api_options() const {
  const auto sizes =
      kvstore::writable_sizes(platform_.state_limits, platform_.announced_state_limits);
  return {.submissions = {rules_.max_waiting_submissions, sizes},
          .final_cache = rules_.terminal_state_cache_size,
          .cancellation = leader::acknowledgement_of_cancellations(platform_),
          .node = platform_.node};
}

std::map<node_name, std::string> controller::peer_addresses() const {
  std::map<node_name, std::string> addresses;
  for (const auto& peer : platform_.peers) addresses[peer.node] = peer.address;
  return addresses;
}

std::vector<node_name> controller::all_nodes() const {
  std::vector<node_name> nodes = {platform_.node};
  for (const auto& peer : platform_.peers) nodes.push_back(peer.node);
  return nodes;
}

leadership::options controller::elector_options() const {
  return {.node = platform_.node,
          .lease = rules_.leader_lease,
          .renewal_grace = leader::renewal_grace(platform_)};
}

peers::peer_network::hooks controller::peer_callbacks() {
  return {.user = [this](const net::request& message,
                         const net::reply_fn& reply) { api_.handle(message, true, reply); },
          .job_announced = [this](const job_id& job) { fetch_announced_job(job); },
          .store_reachable = [this] { return store_reachable(); },
          .heartbeats_seen = [this] { return heartbeats_.redirected_lately(); },
          .leader =
              [this] {
                return peers::named_leader{elector_.leader().node, elector_.leader().token};
              },
          .leader_observed = [this](const node_name& node,
                                    fencing_token token) { elector_.observe_leader(node, token); }};
}

leadership::leader_elector::callbacks controller::elector_callbacks() {
  return {.elected = [this](fencing_token token,
                            const kvstore::condition& leader) { begin_term(token, leader); },
          .deposed = [this] { end_term(); }};
}

leader::leader_term::callbacks controller::term_callbacks() {
  return {
      .deposed = [this] { elector_.superseded(); },
      .lease_valid = [this] { return elector_.lease_valid(); },
      .finished = [this](const job_id& id,
                         const job_store::terminal_state& end) { api_.remember(id, end); },
      .cached_terminal_state = [this](const job_id& id) { return api_.cached_terminal_state(id); }};
}

workers::lease_delegate::hooks controller::delegate_callbacks() {
  return {.leader =
              [this] {
                const node_name& leader = elector_.leader().node;
                return workers::leader_contact{leader, hears_of(leader)};
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
  term_ = std::make_unique<leader::leader_term>(leader::term_environment{.runtime = runtime_,
                                                                         .store = store_,
                                                                         .executor = executor_,
                                                                         .platform = platform_,
                                                                         .rules = rules_,
                                                                         .measured = metrics_},
                                                token, leader, machine_types_.types(),
                                                term_callbacks());
  term_->start();
}

void controller::end_term() {
  store_.set_write_share(write_share);
  term_.reset();
}

void controller::fetch_announced_job(const job_id& job) {
  if (is_leader() && api::valid_id(job.str())) term_->fetch_job(job);
}

/// Whether a peer was heard lately. A node that is no peer, like this one itself, counts as heard.
bool controller::hears_of(const node_name& node) const {
  const auto peer = peers_.peers().find(node);
  return peer == peers_.peers().end() || peers_.recently_seen(peer->second);
}

zone_name controller::zone_of(const node_name& node) const {
  for (const auto& peer : platform_.peers) {
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

void controller::job_submitted(const job_id& job) {
  if (is_leader()) {
    term_->fetch_job(job);
  } else if (!elector_.leader().node.empty()) {
    peers_.announce(elector_.leader().node, job);
  }
}

bool controller::healthy() const {
  if (store_reachable()) return true;
  // When the store refuses everybody, being passed over helps nobody. A node that hears neither
  // the store nor any peer is most likely the one that is cut off.
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
  return runtime_.now() - store_.last_response_time() < store_patience;
}

void controller::handle_front(const net::request& message, const net::reply_fn& reply) {
  if (message.target == "/v1/report") {
    heartbeats_.handle(message, reply);
    return;
  }
  ++metrics_.user_requests;
  const stopwatch watch(metrics_.user_request_time);
  api_.handle(message, false, reply);
}

void controller::handle_mesh(const net::request& message, const net::reply_fn& reply) {
  const stopwatch watch(metrics_.peer_request_time);
  peers_.handle(message, reply);
}

void controller::forward_to_leader(const net::request& message, net::reply_fn done) {
  const node_name leader = elector_.leader().node;
  if (leader.empty() || leader == platform_.node) {
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
  nlohmann::json report = {{"node", platform_.node.str()},
                           {"version", GINGERDRIFT_VERSION},
                           {"leader", elector_.leader().node.str()},
                           {"is_leader", is_leader()},
                           {"store_reachable", store_reachable()},
                           {"dependencies_supported", dependencies_supported()}};
  add_metrics(metrics_, report);
  add_peers(peers_, report);
  if (term_) report["term"] = term_->status();
  if (!dependencies_supported()) report["waiting_for_versions_of"] = texts_of(versions_.missing());
  return report.dump();
}

}  // namespace gingerdrift::daemon
