#include "control/config_client.h"

#include <algorithm>

namespace graniterun::control {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr Duration kConnectTimeout = 1s;
constexpr Duration kPollInterval = 200ms;
constexpr Duration kLateAnswerThreshold = 1s;
constexpr std::size_t kMaxNamesInQuestion = 100;  // in one question, and of so many bytes
constexpr std::size_t kMaxNameBytesInQuestion = 16 * 1024;
constexpr std::size_t kMaxNamesPrinted = 20;  // of each list, to a person
constexpr std::int64_t kMaxCount = 1'000'000'000;

std::size_t count_in(const json& object, const char* name) {
  return static_cast<std::size_t>(integer_in(object, name, 0, kMaxCount));
}

const json& list_in(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_array())
    throw ProtocolError(std::string("there is no list '") + name + "'");
  return *it;
}

bool flag_in(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_boolean() && it->get<bool>();
}

// `total` of them there are: the first ones, and how many more.
template <class List, class Text>
std::string listed(const List& list, std::size_t total, Text text) {
  std::string all;
  std::size_t said = 0;
  for (const auto& one : list) {
    if (said == kMaxNamesPrinted) break;
    all += "  " + text(one) + "\n";
    ++said;
  }
  if (total > said) all += "  and " + std::to_string(total - said) + " more\n";
  return all;
}

std::string prefix_of(const std::string& digest) { return digest.substr(0, 12); }

}  // namespace

ConfigClient::ConfigClient(ConfigClientSettings settings) : settings_(std::move(settings)) {
  for (const std::string& address : settings_.addresses) {
    Target t;
    t.address = address;
    targets_.push_back(std::move(t));
  }
  if (settings_.command == ConfigClientSettings::Command::publish) stage_ = Stage::publishing;
}

void ConfigClient::step(Time now, const net::Event& event, net::Effects& effects) {
  Outbox out;
  std::visit(
      [&](const auto& e) {
        if constexpr (requires { on(now, e, out); }) on(now, e, out);
      },
      event);
  effects = std::move(out.net);
}

ConfigClient::Target* ConfigClient::target_of(net::ConnId conn) {
  return conn.number >= 1 && conn.number <= targets_.size() ? &targets_[conn.number - 1] : nullptr;
}

void ConfigClient::send(const Target& t, const json& line, Outbox& out) const {
  const auto number = static_cast<std::uint32_t>(&t - targets_.data()) + 1;
  out.send({net::Concern::control_client, number}, line_of(line));
}

std::size_t ConfigClient::connected_targets() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(targets_, [](const Target& t) { return t.connected; }));
}

// ---- connections

void ConfigClient::on(Time now, const net::Started&, Outbox& out) {
  for (std::uint32_t i = 0; i < targets_.size(); ++i)
    out.net.push_back(
        net::Connect{{net::Concern::control_client, i + 1}, targets_[i].address, kConnectTimeout});
  out.arm(net::Concern::process, 0, now + settings_.timeout);
  round_began_ = now;
}

void ConfigClient::on(Time now, const net::Connected& e, Outbox& out) {
  Target* t = target_of(e.conn);
  if (t == nullptr || finished_) return;
  t->connected = true;
  if (stage_ == Stage::publishing) return publish_next(now, out);
  advance(now, out);
}

void ConfigClient::fail_target(Time now, Target& t, const std::string& why, Outbox& out) {
  if (finished_ || !t.error.empty()) return;
  const bool lost_in_it = stage_ == Stage::publishing && publish_sent_ && &t == &targets_[publish_target_];
  t.error = why;
  t.connected = false;
  t.pending_answers = 0;
  t.services.clear();
  t.lost_gatekeepers.clear();
  if (lost_in_it) {
    print(out,
          t.address + ": " + why +
              " after the document was sent. It is not known whether it is in force: look at the status\n",
          {{"service", settings_.service},
           {"committed", nullptr},
           {"trouble", "not known whether it is in force: look at the status"}});
    return exit_with(kIncomplete, out);
  }
  if (stage_ == Stage::publishing) return publish_next(now, out);
  advance(now, out);
}

void ConfigClient::on(Time now, const net::ConnectFailed& e, Outbox& out) {
  if (Target* t = target_of(e.conn))
    fail_target(now, *t, e.refused ? "nobody listens there" : "it does not answer", out);
}

void ConfigClient::on(Time now, const net::Closed& e, Outbox& out) {
  if (Target* t = target_of(e.conn)) fail_target(now, *t, "it closed the connection", out);
}

void ConfigClient::on(Time now, const net::Received& e, Outbox& out) {
  Target* t = target_of(e.conn);
  if (t == nullptr || finished_ || !t->error.empty()) return;
  const auto used = read_lines(
      e.bytes,
      [&](const json& line) {
        if (!finished_ && t->error.empty()) handle_line(now, *t, line, out);
      },
      [&](const json&, const std::string& trouble) {
        fail_target(now, *t, "it answers what can't be read (" + trouble + ")", out);
      });
  if (!used) return fail_target(now, *t, "it answers what can't be read", out);
  out.net.push_back(net::Consume{e.conn, *used});
}

void ConfigClient::on(Time now, const net::TimerFired& e, Outbox& out) {
  if (e.key.concern != net::Concern::process || finished_) return;
  if (e.key.number != 0) {
    if (stage_ == Stage::waiting) begin_round(now, out);
    return;
  }
  // The time is over.
  if (stage_ == Stage::publishing && publish_sent_)
    return fail_target(now, targets_[publish_target_], "no answer in time", out);
  // One that owes an answer for long, not one that was asked just now.
  const bool late = !round_completed_ || now - round_began_ > kLateAnswerThreshold;
  for (Target& t : targets_) {
    if (t.error.empty() && (!t.connected || (t.pending_answers > 0 && late))) t.error = "no answer in time";
    if (!t.error.empty()) t.connected = false;
  }
  if (stage_ == Stage::publishing || connected_targets() == 0) return print_result(out);
  if (!round_completed_) {  // what has come so far
    statuses_ = sum_statuses();
    for (const Target& t : targets_)
      lost_gatekeepers_.insert(t.lost_gatekeepers.begin(), t.lost_gatekeepers.end());
    for (const std::string& name : reattached_) lost_gatekeepers_.erase(name);
  }
  print_result(out);
}

void ConfigClient::on(Time, const net::StopRequested&, Outbox& out) {
  if (!finished_) print_result(out);
}

void ConfigClient::handle_line(Time now, Target& t, const json& line, Outbox& out) {
  if (!line.contains("re")) return;  // an event
  if (text_in(line, "re") != "config") return;
  if (line.contains("distributor")) t.name = text_in(line, "distributor");
  const std::string what = text_in(line, "what");
  if (what == "publish") return handle_publish_answer(now, t, line, out);
  if (!flag_in(line, "ok"))
    return fail_target(now, t, line.contains("trouble") ? text_in(line, "trouble") : "it refuses to tell",
                       out);
  if (what == "status") {
    handle_status(t, line, out);
  } else if (what == "attached") {
    for (const json& name : list_in(line, "names")) {
      if (name.is_string()) reattached_.insert(name.get<std::string>());
    }
    if (t.pending_answers > 0) --t.pending_answers;
  } else {
    return;
  }
  advance(now, out);
}

// ---- publishing

// At the first address, in their order, that can be reached: the next one only where it was not sent.
void ConfigClient::publish_next(Time, Outbox& out) {
  if (publish_sent_) return;
  while (publish_target_ < targets_.size() && !targets_[publish_target_].error.empty()) ++publish_target_;
  if (publish_target_ == targets_.size()) return print_result(out);
  if (!targets_[publish_target_].connected) return;
  publish_sent_ = true;
  send(
      targets_[publish_target_],
      {{"op", "config"}, {"what", "publish"}, {"service", settings_.service}, {"content", settings_.content}},
      out);
}

void ConfigClient::handle_publish_answer(Time now, Target& t, const json& line, Outbox& out) {
  if (stage_ != Stage::publishing || !publish_sent_ || &t != &targets_[publish_target_]) return;
  if (!flag_in(line, "ok")) {
    const std::string why = line.contains("trouble") ? text_in(line, "trouble") : "refused";
    // One without a vote has begun nothing: the next one may.
    if (line.contains("standing") && text_in(line, "standing") != "voting" &&
        publish_target_ + 1 < targets_.size()) {
      ++publish_target_;
      publish_sent_ = false;
      non_voter_answer_ = t.name + " " + t.address + ": not published: " + why + "\n";
      return publish_next(now, out);
    }
    print(out, t.name + " " + t.address + ": not published: " + why + "\n",
          {{"service", settings_.service}, {"committed", false}, {"by", t.name}, {"trouble", why}});
    return exit_with(kIncomplete, out);
  }
  version_ = static_cast<distribution::Version>(integer_in(line, "version", 1, std::int64_t{1} << 53));
  digest_ = text_in(line, "digest");
  publisher_name_ = t.name;
  if (!settings_.wait_until_active) return print_result(out);
  begin_round(now, out);
}

// ---- how far it has come: all are asked, then of the names that are gone at one, the others

void ConfigClient::begin_round(Time now, Outbox& out) {
  stage_ = Stage::statuses;
  round_began_ = now;
  reattached_.clear();
  for (Target& t : targets_) {
    t.services.clear();
    t.lost_gatekeepers.clear();
    t.voter_state.clear();
    t.pending_answers = 0;
    t.status_requested = false;
  }
  advance(now, out);
}

void ConfigClient::handle_status(Target& t, const json& line, Outbox& out) {
  if (stage_ != Stage::statuses) throw ProtocolError("a status that nobody asked for");
  t.voter_state = text_in(line, "standing");
  const auto read = [&](const json& one) {
    DistributorStatus part;
    part.version = static_cast<distribution::Version>(integer_in(one, "version", 0, std::int64_t{1} << 53));
    if (one.contains("digest")) part.digest = text_in(one, "digest");
    part.subscribed = count_in(one, "subscribed");
    part.active = count_in(one, "in_force");
    part.rejected_count = count_in(one, "refused_all");
    part.behind_count = count_in(one, "behind_all");
    return part;
  };
  json next = {{"op", "config"}, {"what", "status"}};
  if (line.contains("services")) {
    for (const json& one : list_in(line, "services")) {
      if (!one.is_object()) throw ProtocolError("'services' holds what is no object");
      t.services[text_in(one, "service")] = read(one);
    }
    if (!flag_in(line, "more") || t.services.empty()) {
      t.pending_answers = 0;
      return;
    }
    next["after"] = t.services.rbegin()->first;
  } else {
    const std::string service = text_in(line, "service");
    if (!t.services.contains(service)) {  // the first line of several
      DistributorStatus part = read(line);
      for (const json& r : list_in(line, "refused")) {
        if (!r.is_object()) throw ProtocolError("'refused' holds what is no object");
        part.rejections.push_back({text_in(r, "name"), text_in(r, "reason")});
      }
      for (const json& name : list_in(line, "behind")) {
        if (name.is_string()) part.behind.push_back(name.get<std::string>());
      }
      t.services[service] = std::move(part);
    }
    const json& lost = list_in(line, "lost");
    for (const json& l : lost) {
      if (!l.is_object()) throw ProtocolError("'lost' holds what is no object");
      t.lost_gatekeepers[text_in(l, "name")] = integer_in(l, "ago_ms", 0, std::int64_t{1} << 53);
    }
    if (!flag_in(line, "more") || lost.empty()) {
      t.pending_answers = 0;
      return;
    }
    next["service"] = service;
    next["after"] = t.lost_gatekeepers.rbegin()->first;
  }
  send(t, next, out);
}

// Asks whoever was not asked yet; goes to the next stage once none is owed any more.
void ConfigClient::advance(Time now, Outbox& out) {
  if (finished_) return;
  if (stage_ == Stage::statuses) {
    bool waits = false;
    for (Target& t : targets_) {
      if (t.connected && !std::exchange(t.status_requested, true)) {
        t.pending_answers = 1;
        json question = {{"op", "config"}, {"what", "status"}};
        if (!settings_.service.empty()) question["service"] = settings_.service;
        send(t, question, out);
      }
      waits = waits || t.pending_answers > 0 || (!t.connected && t.error.empty());
    }
    if (waits) return;
    return ask_for_lost_gatekeepers(now, out);
  }
  if (stage_ != Stage::attached) return;
  if (std::ranges::any_of(targets_, [](const Target& t) { return t.pending_answers > 0; })) return;
  end_round(now, out);
}

void ConfigClient::ask_for_lost_gatekeepers(Time now, Outbox& out) {
  stage_ = Stage::attached;
  std::set<std::string> gone;
  for (const Target& t : targets_) {
    for (const auto& [name, ago] : t.lost_gatekeepers) gone.insert(name);
  }
  json names = json::array();
  std::size_t bytes = 0;
  const auto ask = [&] {
    if (names.empty()) return;
    for (Target& t : targets_) {
      if (!t.connected) continue;
      ++t.pending_answers;
      send(t, {{"op", "config"}, {"what", "attached"}, {"names", names}}, out);
    }
    names = json::array();
    bytes = 0;
  };
  for (const std::string& name : gone) {
    if (names.size() >= kMaxNamesInQuestion || bytes + name.size() > kMaxNameBytesInQuestion) ask();
    names.push_back(name);
    bytes += name.size();
  }
  ask();
  advance(now, out);
}

std::map<std::string, ConfigClient::FleetStatus> ConfigClient::sum_statuses() const {
  std::map<std::string, FleetStatus> all;
  for (const Target& t : targets_) {
    for (const auto& [service, part] : t.services) {
      FleetStatus& sum = all[service];
      if (part.version <= sum.version) continue;
      sum.version = part.version;
      sum.digest = part.digest;
    }
  }
  if (version_ != 0) {  // what was just published; a newer one is in its place already, if there is any
    FleetStatus& sum = all[settings_.service];
    if (sum.version <= version_) {
      sum.version = version_;
      sum.digest = digest_;
    }
  }
  for (const Target& t : targets_) {
    for (const auto& [service, part] : t.services) {
      FleetStatus& sum = all[service];
      sum.subscribed += part.subscribed;
      // One that does not know the newest yet can't tell who has it.
      if (part.version != sum.version || part.digest != sum.digest) {
        sum.behind_count += part.subscribed;
        continue;
      }
      sum.active += part.active;
      sum.rejected_count += part.rejected_count;
      sum.behind_count += part.behind_count;
      sum.rejections.insert(sum.rejections.end(), part.rejections.begin(), part.rejections.end());
      sum.behind.insert(sum.behind.end(), part.behind.begin(), part.behind.end());
    }
  }
  return all;
}

void ConfigClient::end_round(Time now, Outbox& out) {
  statuses_ = sum_statuses();
  lost_gatekeepers_.clear();
  for (const Target& t : targets_)
    lost_gatekeepers_.insert(t.lost_gatekeepers.begin(), t.lost_gatekeepers.end());
  for (const std::string& name : reattached_) lost_gatekeepers_.erase(name);
  round_completed_ = true;
  const bool all =
      std::ranges::all_of(statuses_, [](const auto& s) { return s.second.is_active_everywhere(); });
  if (settings_.command == ConfigClientSettings::Command::status || connected_targets() == 0 ||
      (all && lost_gatekeepers_.empty()))
    return print_result(out);
  stage_ = Stage::waiting;
  out.arm(net::Concern::process, 1, now + kPollInterval);
}

// ---- what is said

void ConfigClient::print(Outbox& out, std::string text, json object) const {
  out.net.push_back(net::Print{settings_.json ? line_of(object) : std::move(text), true});
}

void ConfigClient::exit_with(int status, Outbox& out) {
  finished_ = true;
  out.net.push_back(net::Exit{status});
}

void ConfigClient::print_result(Outbox& out) {
  const bool published = version_ != 0;
  json object = json::object();
  std::string text;
  json silent = json::array();
  for (const Target& t : targets_) {
    if (t.connected) continue;
    const std::string why = t.error.empty() ? "no answer" : t.error;
    silent.push_back({{"address", t.address}, {"trouble", why}});
    text += t.address + ": " + why + "\n";
  }
  object["distributors"] = targets_.size();
  object["not_reached"] = silent;
  if (settings_.command == ConfigClientSettings::Command::publish) {
    object["service"] = settings_.service;
    object["committed"] = published;
    if (published) {
      object["version"] = version_;
      object["digest"] = digest_;
      object["by"] = publisher_name_;
      text += settings_.service + ": version " + std::to_string(version_) + ", " + prefix_of(digest_) +
              ", committed by " + publisher_name_ + "\n";
    } else {
      text += non_voter_answer_.empty()
                  ? settings_.service + ": not published: no distributor could be reached\n"
                  : non_voter_answer_;
      print(out, text, object);
      return exit_with(non_voter_answer_.empty() ? kUnreachable : kIncomplete, out);
    }
    if (!settings_.wait_until_active) {
      print(out, text, object);
      return exit_with(kSuccess, out);
    }
  }
  if (connected_targets() == 0) {
    print(out, text, object);
    return exit_with(published ? kIncomplete : kUnreachable, out);
  }
  bool all = silent.empty() && round_completed_ && lost_gatekeepers_.empty();
  json services = json::array();
  for (const auto& [service, sum] : statuses_) {
    all = all && sum.is_active_everywhere();
    json refused = json::array();
    for (const Rejection& r : sum.rejections) refused.push_back({{"name", r.name}, {"reason", r.reason}});
    services.push_back({{"service", service},
                        {"version", sum.version},
                        {"digest", sum.digest},
                        {"subscribed", sum.subscribed},
                        {"in_force", sum.active},
                        {"refused_all", sum.rejected_count},
                        {"refused", std::move(refused)},
                        {"behind_all", sum.behind_count},
                        {"behind", sum.behind}});
    if (published && sum.version > version_) {
      all = false;
      text +=
          service + ": version " + std::to_string(sum.version) + " was published since, and counts here\n";
    }
    if (!published)
      text += service + ": " +
              (sum.version == 0 ? "nothing committed"
                                : "version " + std::to_string(sum.version) + ", " + prefix_of(sum.digest)) +
              ": ";
    text += "in force at " + std::to_string(sum.active) + " of " + std::to_string(sum.subscribed) +
            ", refused at " + std::to_string(sum.rejected_count);
    if (settings_.service.empty()) {
      text += "\n";
      continue;
    }
    text += ", not heard of " + std::to_string(lost_gatekeepers_.size()) + "\n";
    if (sum.rejected_count > 0)
      text += "refused:\n" + listed(sum.rejections, sum.rejected_count,
                                    [](const Rejection& r) { return r.name + ": " + r.reason; });
    if (sum.behind_count > 0 && !published)
      text +=
          "behind:\n" + listed(sum.behind, sum.behind_count, [](const std::string& name) { return name; });
    if (!lost_gatekeepers_.empty() && !published)
      text += "not heard of:\n" + listed(lost_gatekeepers_, lost_gatekeepers_.size(), [](const auto& lost) {
                return lost.first + ", for " + std::to_string(lost.second / 1000) + " s";
              });
  }
  if (statuses_.empty()) text += "no service has a document\n";
  for (const Target& t : targets_) {
    if (t.connected && !t.voter_state.empty() && t.voter_state != "voting")
      text += t.name + " " + t.address + " has no vote: " + t.voter_state + "\n";
  }
  json lost = json::array();
  for (const auto& [name, ago] : lost_gatekeepers_) lost.push_back({{"name", name}, {"ago_ms", ago}});
  object["services"] = std::move(services);
  object["not_heard_of"] = std::move(lost);
  object["all"] = all;
  print(out, text, object);
  exit_with(all ? kSuccess : kIncomplete, out);
}

}  // namespace graniterun::control
