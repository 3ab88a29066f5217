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
constexpr std::int64_t kMaxVersion = std::int64_t{1} << 53;

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

bool is_active_everywhere(const ServiceStatus& status) {
  return status.version != 0 && status.active == status.subscribed && status.rejected_count == 0;
}

json to_json(const std::string& service, const ServiceStatus& status) {
  json rejections = json::array();
  for (const ConfigRejection& rejection : status.rejections)
    rejections.push_back({{"name", rejection.name}, {"reason", rejection.reason}});
  return {{"service", service},
          {"version", status.version},
          {"digest", status.digest},
          {"subscribed", status.subscribed},
          {"in_force", status.active},
          {"refused_all", status.rejected_count},
          {"refused", std::move(rejections)},
          {"behind_all", status.behind_count},
          {"behind", status.behind}};
}

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
  net::dispatch(
      event, [&](const auto& one) requires requires { on(now, one, out); } { on(now, one, out); });
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

namespace {

ServiceStatus service_status_in(const json& object) {
  ServiceStatus status;
  status.version = static_cast<distribution::Version>(integer_in(object, "version", 0, kMaxVersion));
  if (object.contains("digest")) status.digest = text_in(object, "digest");
  status.subscribed = count_in(object, "subscribed");
  status.active = count_in(object, "in_force");
  status.rejected_count = count_in(object, "refused_all");
  status.behind_count = count_in(object, "behind_all");
  return status;
}

// With the names, which only the answer to a question about one service has.
ServiceStatus named_status_in(const json& line) {
  ServiceStatus status = service_status_in(line);
  for (const json& rejection : list_in(line, "refused")) {
    if (!rejection.is_object()) throw ProtocolError("'refused' holds what is no object");
    status.rejections.push_back({text_in(rejection, "name"), text_in(rejection, "reason")});
  }
  for (const json& name : list_in(line, "behind")) {
    if (name.is_string()) status.behind.push_back(name.get<std::string>());
  }
  return status;
}

}  // namespace

void ConfigClient::handle_status(Target& target, const json& line, Outbox& out) {
  if (stage_ != Stage::statuses) throw ProtocolError("a status that nobody asked for");
  target.voter_state = text_in(line, "standing");
  if (line.contains("services")) {
    handle_all_services(target, line, out);
  } else {
    handle_one_service(target, line, out);
  }
}

void ConfigClient::handle_all_services(Target& target, const json& line, Outbox& out) {
  for (const json& one : list_in(line, "services")) {
    if (!one.is_object()) throw ProtocolError("'services' holds what is no object");
    target.services[text_in(one, "service")] = service_status_in(one);
  }
  if (!flag_in(line, "more") || target.services.empty()) {
    target.pending_answers = 0;
    return;
  }
  send(target, {{"op", "config"}, {"what", "status"}, {"after", target.services.rbegin()->first}}, out);
}

void ConfigClient::handle_one_service(Target& target, const json& line, Outbox& out) {
  const std::string service = text_in(line, "service");
  if (!target.services.contains(service))
    target.services[service] = named_status_in(line);  // of several lines
  const json& lost = list_in(line, "lost");
  for (const json& one : lost) {
    if (!one.is_object()) throw ProtocolError("'lost' holds what is no object");
    target.lost_gatekeepers[text_in(one, "name")] = integer_in(one, "ago_ms", 0, kMaxVersion);
  }
  if (!flag_in(line, "more") || lost.empty()) {
    target.pending_answers = 0;
    return;
  }
  send(target,
       {{"op", "config"},
        {"what", "status"},
        {"service", service},
        {"after", target.lost_gatekeepers.rbegin()->first}},
       out);
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

std::map<std::string, ServiceStatus> ConfigClient::sum_statuses() const {
  std::map<std::string, ServiceStatus> all;
  for (const Target& t : targets_) {
    for (const auto& [service, part] : t.services) {
      ServiceStatus& sum = all[service];
      if (part.version <= sum.version) continue;
      sum.version = part.version;
      sum.digest = part.digest;
    }
  }
  if (version_ != 0) {  // what was just published; a newer one is in its place already, if there is any
    ServiceStatus& sum = all[settings_.service];
    if (sum.version <= version_) {
      sum.version = version_;
      sum.digest = digest_;
    }
  }
  for (const Target& t : targets_) {
    for (const auto& [service, part] : t.services) {
      ServiceStatus& sum = all[service];
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
      std::ranges::all_of(statuses_, [](const auto& s) { return is_active_everywhere(s.second); });
  if (settings_.command == ConfigClientSettings::Command::status || connected_targets() == 0 ||
      (all && lost_gatekeepers_.empty()))
    return print_result(out);
  stage_ = Stage::waiting;
  out.arm(net::Concern::process, 1, now + kPollInterval);
}

// ---- what is said

void ConfigClient::print(Outbox& out, std::string text, const json& object) const {
  out.net.push_back(net::Print{settings_.json ? line_of(object) : std::move(text), true});
}

void ConfigClient::exit_with(int status, Outbox& out) {
  finished_ = true;
  out.net.push_back(net::Exit{status});
}

void ConfigClient::print_result(Outbox& out) {
  const bool published = version_ != 0;
  Report report;
  report_unreachable(report);
  if (settings_.command == ConfigClientSettings::Command::publish) {
    report_publication(report);
    if (!published) {
      print(out, report.text, report.object);
      return exit_with(non_voter_answer_.empty() ? kUnreachable : kIncomplete, out);
    }
    if (!settings_.wait_until_active) {
      print(out, report.text, report.object);
      return exit_with(kSuccess, out);
    }
  }
  if (connected_targets() == 0) {
    print(out, report.text, report.object);
    return exit_with(published ? kIncomplete : kUnreachable, out);
  }
  const bool all = report_services(report);
  report_without_vote(report);
  json lost = json::array();
  for (const auto& [name, ago] : lost_gatekeepers_) lost.push_back({{"name", name}, {"ago_ms", ago}});
  report.object["not_heard_of"] = std::move(lost);
  report.object["all"] = all;
  print(out, report.text, report.object);
  exit_with(all ? kSuccess : kIncomplete, out);
}

void ConfigClient::report_unreachable(Report& report) const {
  json unreachable = json::array();
  for (const Target& target : targets_) {
    if (target.connected) continue;
    const std::string error = target.error.empty() ? "no answer" : target.error;
    unreachable.push_back({{"address", target.address}, {"trouble", error}});
    report.text += target.address + ": " + error + "\n";
  }
  report.object["distributors"] = targets_.size();
  report.object["not_reached"] = std::move(unreachable);
}

void ConfigClient::report_publication(Report& report) const {
  const bool published = version_ != 0;
  report.object["service"] = settings_.service;
  report.object["committed"] = published;
  if (!published) {
    report.text += non_voter_answer_.empty()
                       ? settings_.service + ": not published: no distributor could be reached\n"
                       : non_voter_answer_;
    return;
  }
  report.object["version"] = version_;
  report.object["digest"] = digest_;
  report.object["by"] = publisher_name_;
  report.text += settings_.service + ": version " + std::to_string(version_) + ", " + prefix_of(digest_) +
                 ", committed by " + publisher_name_ + "\n";
}

bool ConfigClient::report_services(Report& report) const {
  bool all = report.object["not_reached"].empty() && round_completed_ && lost_gatekeepers_.empty();
  json services = json::array();
  for (const auto& [service, status] : statuses_) {
    const bool replaced = version_ != 0 && status.version > version_;
    all = all && is_active_everywhere(status) && !replaced;
    services.push_back(to_json(service, status));
    if (replaced)
      report.text +=
          service + ": version " + std::to_string(status.version) + " was published since, and counts here\n";
    report.text += service_text(service, status);
  }
  if (statuses_.empty()) report.text += "no service has a document\n";
  report.object["services"] = std::move(services);
  return all;
}

std::string ConfigClient::service_text(const std::string& service, const ServiceStatus& status) const {
  const bool published = version_ != 0;
  std::string text;
  if (!published)
    text += service + ": " +
            (status.version == 0
                 ? "nothing committed"
                 : "version " + std::to_string(status.version) + ", " + prefix_of(status.digest)) +
            ": ";
  text += "in force at " + std::to_string(status.active) + " of " + std::to_string(status.subscribed) +
          ", refused at " + std::to_string(status.rejected_count);
  if (settings_.service.empty()) return text + "\n";
  text += ", not heard of " + std::to_string(lost_gatekeepers_.size()) + "\n";
  if (status.rejected_count > 0)
    text += "refused:\n" +
            listed(status.rejections, status.rejected_count,
                   [](const ConfigRejection& rejection) { return rejection.name + ": " + rejection.reason; });
  if (published) return text;
  if (status.behind_count > 0)
    text += "behind:\n" +
            listed(status.behind, status.behind_count, [](const std::string& name) { return name; });
  if (!lost_gatekeepers_.empty())
    text += "not heard of:\n" + listed(lost_gatekeepers_, lost_gatekeepers_.size(), [](const auto& lost) {
              return lost.first + ", for " + std::to_string(lost.second / 1000) + " s";
            });
  return text;
}

void ConfigClient::report_without_vote(Report& report) const {
  for (const Target& target : targets_) {
    if (target.connected && !target.voter_state.empty() && target.voter_state != "voting")
      report.text += target.name + " " + target.address + " has no vote: " + target.voter_state + "\n";
  }
}

}  // namespace graniterun::control
