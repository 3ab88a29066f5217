#include "control/config_client.h"

#include <algorithm>

namespace graniterun::control {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr Duration kConnectTimeout = 1s;
constexpr Duration kPollInterval = 200ms;
constexpr Duration kLateAnswerThreshold = 1s;  // age of a polling round whose missing answers count as late
constexpr std::size_t kMaxNamesInQuery = 100;  // names in one `attached` query
constexpr std::size_t kMaxNameBytesInQuery = 16 * 1024;
constexpr std::size_t kMaxNamesPrinted = 20;  // of each list, in the text output
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

// One line for each of the first entries, and the number of the remaining ones. `total` counts entries that
// the list does not hold, too.
template <class List, class Describe>
std::string describe_list(const List& list, std::size_t total, Describe describe) {
  std::string text;
  std::size_t printed = 0;
  for (const auto& entry : list) {
    if (printed == kMaxNamesPrinted) break;
    text += "  " + describe(entry) + "\n";
    ++printed;
  }
  if (total > printed) text += "  and " + std::to_string(total - printed) + " more\n";
  return text;
}

std::string digest_prefix(const std::string& digest) { return digest.substr(0, 12); }

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
    Target target;
    target.address = address;
    targets_.push_back(std::move(target));
  }
  if (settings_.command == ConfigClientSettings::Command::publish) stage_ = Stage::publishing;
}

void ConfigClient::step(Time now, const net::Event& event, net::Effects& effects) {
  Outbox out;
  net::dispatch(
      event, [&](const auto& e) requires requires { on(now, e, out); } { on(now, e, out); });
  effects = std::move(out.net);
}

ConfigClient::Target* ConfigClient::target_of(net::ConnId conn) {
  return conn.number >= 1 && conn.number <= targets_.size() ? &targets_[conn.number - 1] : nullptr;
}

void ConfigClient::send(const Target& target, const json& line, Outbox& out) const {
  const auto number = static_cast<std::uint32_t>(&target - targets_.data()) + 1;
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
  round_started_at_ = now;
}

void ConfigClient::on(Time now, const net::Connected& e, Outbox& out) {
  Target* target = target_of(e.conn);
  if (target == nullptr || finished_) return;
  target->connected = true;
  if (stage_ == Stage::publishing) return publish_next(now, out);
  advance(now, out);
}

void ConfigClient::fail_target(Time now, Target& target, const std::string& reason, Outbox& out) {
  if (finished_ || !target.error.empty()) return;
  const bool publication_unknown =
      stage_ == Stage::publishing && publish_sent_ && &target == &targets_[publish_target_];
  target.error = reason;
  target.connected = false;
  target.pending_answers = 0;
  target.services.clear();
  target.lost_gatekeepers.clear();
  if (publication_unknown) {
    print(out,
          target.address + ": " + reason +
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
  if (Target* target = target_of(e.conn))
    fail_target(now, *target, e.refused ? "nobody listens there" : "it does not answer", out);
}

void ConfigClient::on(Time now, const net::Closed& e, Outbox& out) {
  if (Target* target = target_of(e.conn)) fail_target(now, *target, "it closed the connection", out);
}

void ConfigClient::on(Time now, const net::Received& e, Outbox& out) {
  Target* target = target_of(e.conn);
  if (target == nullptr || finished_ || !target->error.empty()) return;
  const auto used = read_lines(
      e.bytes,
      [&](const json& line) {
        if (!finished_ && target->error.empty()) handle_line(now, *target, line, out);
      },
      [&](const json&, const std::string& error) {
        fail_target(now, *target, "it answers what can't be read (" + error + ")", out);
      });
  if (!used) return fail_target(now, *target, "it answers what can't be read", out);
  out.net.push_back(net::Consume{e.conn, *used});
}

void ConfigClient::on(Time now, const net::TimerFired& e, Outbox& out) {
  if (e.key.concern != net::Concern::process || finished_) return;
  if (e.key.number != 0) {
    if (stage_ == Stage::waiting) begin_round(now, out);
    return;
  }
  // The timeout of the whole command has expired.
  if (stage_ == Stage::publishing && publish_sent_)
    return fail_target(now, targets_[publish_target_], "no answer in time", out);
  // Only targets that have owed an answer for a while fail, not those that were queried just now.
  const bool late = !round_completed_ || now - round_started_at_ > kLateAnswerThreshold;
  for (Target& target : targets_) {
    if (target.error.empty() && (!target.connected || (target.pending_answers > 0 && late)))
      target.error = "no answer in time";
    if (!target.error.empty()) target.connected = false;
  }
  if (stage_ == Stage::publishing || connected_targets() == 0) return print_result(out);
  if (!round_completed_) {  // reports the answers received so far
    statuses_ = sum_statuses();
    for (const Target& target : targets_)
      lost_gatekeepers_.insert(target.lost_gatekeepers.begin(), target.lost_gatekeepers.end());
    for (const std::string& name : reattached_) lost_gatekeepers_.erase(name);
  }
  print_result(out);
}

void ConfigClient::on(Time, const net::StopRequested&, Outbox& out) {
  if (!finished_) print_result(out);
}

void ConfigClient::handle_line(Time now, Target& target, const json& line, Outbox& out) {
  if (!line.contains("re")) return;  // an event line, not an answer
  if (text_in(line, "re") != "config") return;
  if (line.contains("distributor")) target.name = text_in(line, "distributor");
  const std::string what = text_in(line, "what");
  if (what == "publish") return handle_publish_answer(now, target, line, out);
  if (!flag_in(line, "ok"))
    return fail_target(now, target,
                       line.contains("trouble") ? text_in(line, "trouble") : "it refuses to tell", out);
  if (what == "status") {
    handle_status(target, line, out);
  } else if (what == "attached") {
    for (const json& name : list_in(line, "names")) {
      if (name.is_string()) reattached_.insert(name.get<std::string>());
    }
    if (target.pending_answers > 0) --target.pending_answers;
  } else {
    return;
  }
  advance(now, out);
}

// ---- publishing

// Publishes at the first reachable address, in the given order. Never sends it to a second distributor while
// the first one may have committed it.
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

void ConfigClient::handle_publish_answer(Time now, Target& target, const json& line, Outbox& out) {
  if (stage_ != Stage::publishing || !publish_sent_ || &target != &targets_[publish_target_]) return;
  if (!flag_in(line, "ok")) {
    const std::string reason = line.contains("trouble") ? text_in(line, "trouble") : "refused";
    // A distributor that is not a voter has proposed nothing: the next one may publish.
    if (line.contains("standing") && text_in(line, "standing") != "voting" &&
        publish_target_ + 1 < targets_.size()) {
      ++publish_target_;
      publish_sent_ = false;
      non_voter_answer_ = target.name + " " + target.address + ": not published: " + reason + "\n";
      return publish_next(now, out);
    }
    print(out, target.name + " " + target.address + ": not published: " + reason + "\n",
          {{"service", settings_.service}, {"committed", false}, {"by", target.name}, {"trouble", reason}});
    return exit_with(kIncomplete, out);
  }
  version_ = static_cast<distribution::Version>(integer_in(line, "version", 1, std::int64_t{1} << 53));
  digest_ = text_in(line, "digest");
  publisher_name_ = target.name;
  if (!settings_.wait_until_active) return print_result(out);
  begin_round(now, out);
}

// ---- polling: queries the status at every target, then which of the lost gatekeepers are attached elsewhere

void ConfigClient::begin_round(Time now, Outbox& out) {
  stage_ = Stage::statuses;
  round_started_at_ = now;
  reattached_.clear();
  for (Target& target : targets_) {
    target.services.clear();
    target.lost_gatekeepers.clear();
    target.voter_state.clear();
    target.pending_answers = 0;
    target.status_requested = false;
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

// Also reads the gatekeepers' names, which only the status of a single service has.
ServiceStatus detailed_status_in(const json& line) {
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
  for (const json& service : list_in(line, "services")) {
    if (!service.is_object()) throw ProtocolError("'services' holds what is no object");
    target.services[text_in(service, "service")] = service_status_in(service);
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
    target.services[service] = detailed_status_in(line);  // only the first page of several has the names
  const json& lost = list_in(line, "lost");
  for (const json& gatekeeper : lost) {
    if (!gatekeeper.is_object()) throw ProtocolError("'lost' holds what is no object");
    target.lost_gatekeepers[text_in(gatekeeper, "name")] = integer_in(gatekeeper, "ago_ms", 0, kMaxVersion);
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

// Queries the connected targets that were not queried in this round, and enters the next stage once no answer
// is pending.
void ConfigClient::advance(Time now, Outbox& out) {
  if (finished_) return;
  if (stage_ == Stage::statuses) {
    bool pending = false;
    for (Target& target : targets_) {
      if (target.connected && !std::exchange(target.status_requested, true)) {
        target.pending_answers = 1;
        json query = {{"op", "config"}, {"what", "status"}};
        if (!settings_.service.empty()) query["service"] = settings_.service;
        send(target, query, out);
      }
      pending = pending || target.pending_answers > 0 || (!target.connected && target.error.empty());
    }
    if (pending) return;
    return query_lost_gatekeepers(now, out);
  }
  if (stage_ != Stage::attached) return;
  if (std::ranges::any_of(targets_, [](const Target& t) { return t.pending_answers > 0; })) return;
  end_round(now, out);
}

void ConfigClient::query_lost_gatekeepers(Time now, Outbox& out) {
  stage_ = Stage::attached;
  std::set<std::string> lost;
  for (const Target& target : targets_) {
    for (const auto& [name, ago_ms] : target.lost_gatekeepers) lost.insert(name);
  }
  json names = json::array();
  std::size_t bytes = 0;
  const auto send_query = [&] {
    if (names.empty()) return;
    for (Target& target : targets_) {
      if (!target.connected) continue;
      ++target.pending_answers;
      send(target, {{"op", "config"}, {"what", "attached"}, {"names", names}}, out);
    }
    names = json::array();
    bytes = 0;
  };
  for (const std::string& name : lost) {
    if (names.size() >= kMaxNamesInQuery || bytes + name.size() > kMaxNameBytesInQuery) send_query();
    names.push_back(name);
    bytes += name.size();
  }
  send_query();
  advance(now, out);
}

std::map<std::string, ServiceStatus> ConfigClient::sum_statuses() const {
  std::map<std::string, ServiceStatus> all;
  for (const Target& target : targets_) {
    for (const auto& [service, part] : target.services) {
      ServiceStatus& sum = all[service];
      if (part.version <= sum.version) continue;
      sum.version = part.version;
      sum.digest = part.digest;
    }
  }
  if (version_ != 0) {  // the configuration just published, unless a newer version is known
    ServiceStatus& sum = all[settings_.service];
    if (sum.version <= version_) {
      sum.version = version_;
      sum.digest = digest_;
    }
  }
  for (const Target& target : targets_) {
    for (const auto& [service, part] : target.services) {
      ServiceStatus& sum = all[service];
      sum.subscribed += part.subscribed;
      // A distributor that does not know the newest version cannot tell which gatekeepers have it.
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
  for (const Target& target : targets_)
    lost_gatekeepers_.insert(target.lost_gatekeepers.begin(), target.lost_gatekeepers.end());
  for (const std::string& name : reattached_) lost_gatekeepers_.erase(name);
  round_completed_ = true;
  const bool all_active =
      std::ranges::all_of(statuses_, [](const auto& status) { return is_active_everywhere(status.second); });
  if (settings_.command == ConfigClientSettings::Command::status || connected_targets() == 0 ||
      (all_active && lost_gatekeepers_.empty()))
    return print_result(out);
  stage_ = Stage::waiting;
  out.arm(net::Concern::process, 1, now + kPollInterval);
}

// ---- output

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
  const bool complete = report_services(report);
  report_non_voters(report);
  json lost = json::array();
  for (const auto& [name, ago_ms] : lost_gatekeepers_) lost.push_back({{"name", name}, {"ago_ms", ago_ms}});
  report.object["not_heard_of"] = std::move(lost);
  report.object["all"] = complete;
  print(out, report.text, report.object);
  exit_with(complete ? kSuccess : kIncomplete, out);
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
  report.text += settings_.service + ": version " + std::to_string(version_) + ", " + digest_prefix(digest_) +
                 ", committed by " + publisher_name_ + "\n";
}

bool ConfigClient::report_services(Report& report) const {
  bool complete = report.object["not_reached"].empty() && round_completed_ && lost_gatekeepers_.empty();
  json services = json::array();
  for (const auto& [service, status] : statuses_) {
    const bool replaced = version_ != 0 && status.version > version_;
    complete = complete && is_active_everywhere(status) && !replaced;
    services.push_back(to_json(service, status));
    if (replaced)
      report.text +=
          service + ": version " + std::to_string(status.version) + " was published since, and counts here\n";
    report.text += describe_service(service, status);
  }
  if (statuses_.empty()) report.text += "no service has a document\n";
  report.object["services"] = std::move(services);
  return complete;
}

std::string ConfigClient::describe_service(const std::string& service, const ServiceStatus& status) const {
  const bool published = version_ != 0;
  std::string text;
  if (!published)
    text += service + ": " +
            (status.version == 0
                 ? "nothing committed"
                 : "version " + std::to_string(status.version) + ", " + digest_prefix(status.digest)) +
            ": ";
  text += "in force at " + std::to_string(status.active) + " of " + std::to_string(status.subscribed) +
          ", refused at " + std::to_string(status.rejected_count);
  if (settings_.service.empty()) return text + "\n";
  text += ", not heard of " + std::to_string(lost_gatekeepers_.size()) + "\n";
  if (status.rejected_count > 0)
    text += "refused:\n" +
            describe_list(status.rejections, status.rejected_count, [](const ConfigRejection& rejection) {
              return rejection.name + ": " + rejection.reason;
            });
  if (published) return text;
  if (status.behind_count > 0)
    text += "behind:\n" +
            describe_list(status.behind, status.behind_count, [](const std::string& name) { return name; });
  if (!lost_gatekeepers_.empty())
    text +=
        "not heard of:\n" + describe_list(lost_gatekeepers_, lost_gatekeepers_.size(), [](const auto& lost) {
          return lost.first + ", for " + std::to_string(lost.second / 1000) + " s";
        });
  return text;
}

void ConfigClient::report_non_voters(Report& report) const {
  for (const Target& target : targets_) {
    if (target.connected && !target.voter_state.empty() && target.voter_state != "voting")
      report.text += target.name + " " + target.address + " has no vote: " + target.voter_state + "\n";
  }
}

}  // namespace graniterun::control
