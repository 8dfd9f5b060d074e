#include "support/sim_site.hpp"

namespace gingerdrift::testing {

std::string sim_job::body() const {
  json out({{"nameId", id},
            {"lane", "any"},
            {"crew", team},
            {"shape", gang ? "ensemble" : "sweep"},
            {"urgency", urgency},
            {"pieces", tasks},
            {"vcpus", cpus},
            {"accelerators", gpus},
            {"memGb", 1.0},
            {"bundle", "image"},
            {"imageGb", 1.0},
            {"flavors", nullptr},
            {"yard", zone.empty() ? json() : json(zone)},
            {"together", one_zone},
            {"scatter", spread},
            {"loaners", spot},
            {"guessS", run_s},
            {"snapshotS", checkpoint_s},
            {"stashS", save_s},
            {"dueS", nullptr}});
  if (!awaits.empty()) out["awaits"] = awaits;
  return out.dump();
}

sim_machine::sim_machine(sim_site& site, std::string machine, std::string where, bool is_spot)
    : name(std::move(machine)), zone(std::move(where)), spot(is_spot), site_(site) {
  rented = site_.net.now();
}
sim_machine::~sim_machine() { *alive_ = false; }
time_point sim_machine::now() const { return site_.net.now(); }

void sim_machine::boot() {
  if (gone) return;
  up = true;
  lease_from_ = now();
  site_.net.serve(
      name, name + ":9", [this](const net::request& message, const net::reply_fn& reply) {
        if (now() < hung_until_) {
          // Held until the machine goes on, when its sender has long given up.
          if (message.target == "/orders") held_orders_.push_back(message.body);
          return;
        }
        if (message.target == "/show") {
          reply({200, state().dump(), std::nullopt, false});
          return;
        }
        reply({take_orders(message.body) ? 200 : 409, state().dump(), std::nullopt, false});
      });
  site_.net.after(duration::zero(), [this, alive = alive_] {
    if (*alive) report();
  });
  step();
}

bool sim_machine::take_orders(const std::string& text) {
  const json body = json::parse(text);
  if (body.at("baton").get<std::uint64_t>() < token_ ||
      body.at("shift").get<std::uint64_t>() != session_)
    return false;
  token_ = body.at("baton").get<std::uint64_t>();
  if (site_.net.is_mute(name)) ++site_.facts["orders_on_mute"];
  execute(body.at("orders"));
  return true;
}

void sim_machine::vanish() {
  gone = true;
  up = false;
  tasks.clear();
  site_.net.stop(name);
}

json sim_machine::state() {
  json out = {{"host", name},        {"addr", name + ":9"},    {"flavor", "g8"}, {"yard", zone},
              {"loaners", spot},     {"shift", session_},      {"tick", ++seq_}, {"baton", token_},
              {"warningS", nullptr}, {"pieces", json::array()}};
  if (notice) out["warningS"] = *notice;
  for (const auto& [key, one] : tasks) {
    json item = {{"piece", key.first + "/" + std::to_string(key.second)},
                 {"try", one.number},
                 {"status", one.state}};
    if (!one.cause.empty()) item["cause"] = one.cause;
    out["pieces"].push_back(item);
  }
  return out;
}

void sim_machine::lease_over() {
  if (!tasks.empty()) ++site_.facts["leases_over"];
  tasks.clear();
  ++session_;
  seq_ = 0;
  lease_from_ = now();
}

void sim_machine::report() {
  if (gone) return;
  const duration next = from_seconds(site_.shape.report_s * site_.net.uniform(0.75, 1.25));
  site_.net.after(next, [this, alive = alive_] {
    if (*alive) report();
  });
  if (in_flight_ || now() < hung_until_) return;
  in_flight_ = true;
  const time_point sent = now();
  const auto session = session_;
  const std::string node = site_.nodes[target_ % site_.nodes.size()];
  site_.net.call(name, node, {"POST", "/v1/report", state().dump()}, seconds(4),
                 [this, alive = alive_, sent, session, node](const net::response& reply) {
                   if (!*alive || gone) return;
                   in_flight_ = false;
                   if (now() < hung_until_) return;
                   if (reply.status == 421) {
                     const auto boss = json::parse(reply.body).value("boss", std::string());
                     ++target_;
                     for (std::size_t i = 0; i < site_.nodes.size(); ++i) {
                       if (site_.host_of(site_.nodes[i]) == boss) target_ = i;
                     }
                     return;
                   }
                   if (reply.status != 200) {
                     ++target_;
                     return;
                   }
                   const json body = json::parse(reply.body);
                   if (session != session_ || body.value("baton", std::uint64_t{0}) < token_)
                     return;
                   token_ = body["baton"].get<std::uint64_t>();
                   lease_from_ = sent;
                   if (site_.on_renewal && !tasks.empty()) site_.on_renewal(node);
                   execute(body.at("orders"));
                 });
}

void sim_machine::execute(const json& orders) {
  for (const auto& order : orders) {
    const auto piece = order.at("piece").get<std::string>();
    const auto slash = piece.rfind('/');
    const std::string job = piece.substr(0, slash);
    const auto number = static_cast<std::uint32_t>(std::stoul(piece.substr(slash + 1)));
    const auto attempt = order.at("try").get<std::uint64_t>();
    const auto verb = order.at("verb").get<std::string>();
    const auto found = tasks.find({job, number});
    if (verb == "run") {
      if (found != tasks.end()) continue;
      site_.run_taken(job);
      task fresh;
      fresh.number = attempt;
      fresh.state = "pulling";
      const double fetch = site_.jobs.at(job).fetch_s;
      fresh.ready =
          now() + from_seconds(fetch > 0 && !has_image(job) ? fetch * site_.net.uniform(0.5, 1.5)
                                                            : site_.net.uniform(0.2, 2.0));
      fresh.spec = &site_.jobs.at(job);
      tasks[{job, number}] = fresh;
    } else if (found == tasks.end() || found->second.number != attempt) {
      continue;
    } else if (verb == "reap") {
      if (found->second.state == "ended") tasks.erase(found);
    } else if (verb == "stop" && found->second.state != "ended") {
      const auto& spec = site_.jobs.at(job);
      auto& one = found->second;
      if (one.state == "running" && spec.checkpoint_s > 0 &&
          order.at("mercyS").get<double>() >= spec.save_s) {
        one.state = "flushing";
        one.ready = now() + from_seconds(spec.save_s);
        site_.progress[job][number] += to_seconds(now() - one.started);
      } else if (one.state != "flushing" || order.at("mercyS").get<double>() == 0) {
        exit_task(job, number, "halted");
      }
    }
  }
}

void sim_machine::exit_task(const std::string& job, std::uint32_t number,
                            const std::string& cause) {
  auto& one = tasks.at({job, number});
  one.state = "ended";
  one.cause = cause;
  if (cause == "done") site_.task_done(job, number, token_);
}

void sim_machine::step() {
  site_.net.after(milliseconds(100), [this, alive = alive_] {
    if (*alive && !gone) step();
  });
  if (now() - lease_from_ > from_seconds(site_.shape.lease_s)) lease_over();
  if (now() < hung_until_) return;
  for (const auto& late : std::exchange(held_orders_, {})) {
    site_.facts["held_orders_taken"] += take_orders(late);
  }
  for (auto& [key, one] : tasks) {
    const auto& spec = site_.jobs.at(key.first);
    if (one.state == "pulling" && now() >= one.ready) {
      if (sick || spec.fails) {
        exit_task(key.first, key.second, "error");
        continue;
      }
      if (site_.done[key.first].count(key.second) != 0) {
        exit_task(key.first, key.second, "done");
        continue;
      }
      images_.insert(key.first);
      one.state = spec.gang ? "waiting" : "running";
      one.started = now();
      site_.started(*this, key.first, key.second);
    } else if (one.state == "waiting") {
      // The gang starts once every member of this attempt is there.
      std::size_t there = 0;
      for (const auto& [other_name, other] : site_.machines) {
        for (const auto& [other_key, mate] : other->tasks) {
          if (other_key.first == key.first && mate.number == one.number &&
              (mate.state == "waiting" || mate.state == "running"))
            ++there;
        }
      }
      if (there == spec.tasks) {
        one.state = "running";
        one.started = now();
      } else if (now() - one.started > from_seconds(site_.shape.gang_wait_s)) {
        exit_task(key.first, key.second, "alone");
      }
    } else if (one.state == "running") {
      if (spec.gang) {
        std::size_t there = 0;
        for (const auto& [other_name, other] : site_.machines) {
          for (const auto& [other_key, mate] : other->tasks) {
            if (other_key.first == key.first && mate.number == one.number &&
                (mate.state != "ended" || mate.cause == "done"))
              ++there;
          }
        }
        if (there < spec.tasks && now() - one.started > from_seconds(site_.shape.gang_peer_s)) {
          exit_task(key.first, key.second, "mates_gone");
          continue;
        }
      }
      if (to_seconds(now() - one.started) + site_.progress[key.first][key.second] >=
          spec.run_s + spec.apart_s * key.second)
        exit_task(key.first, key.second, "done");
    } else if (one.state == "flushing" && now() >= one.ready) {
      exit_task(key.first, key.second, "halted");
    }
  }
  site_.check_cancelled();
}

}  // namespace gingerdrift::testing
