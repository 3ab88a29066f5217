#include "control/gap_client.h"

#include <algorithm>

namespace graniterun::control {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr Duration kConnectTimeout = 2s;

std::string ms_text(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

std::string padded(std::string text, std::size_t width) {
  text.resize(std::max(width, text.size()), ' ');
  return text;
}

// A gap as text for people; at most three of its numbers, prefixes and classes each.
std::string describe(const json& gap) {
  if (gap.value("lifted", false)) return "lifted";
  std::string text;
  for (const char* names : {"numbers", "prefixes", "classes"}) {
    const auto it = gap.find(names);
    if (it == gap.end()) continue;
    text += (text.empty() ? "" : " ") + std::string(names) + " ";
    for (std::size_t i = 0; i < it->size() && i < 3; ++i)
      text += (i > 0 ? "," : "") + (*it)[i].get<std::string>();
    if (it->size() > 3) text += " and " + std::to_string(it->size() - 3) + " more";
  }
  if (gap.contains("percent")) return text + ": " + std::to_string(gap["percent"].get<double>()) + "% pass";
  const json interval = gap.value("interval_ms", json("none"));
  text += interval.is_string() ? ": none passes" : ": one in " + interval.dump() + " ms";
  if (gap.value("shape", "") == "each") text += " for each number";
  return text;
}

// ---- rows of the printed tables

std::string gap_row(const json& gap) {
  const bool lifted = gap.value("lifted", false);
  const char* state = gap.value("in_force", false) ? "in force" : lifted ? "lifted" : "not now";
  std::string text = "  " + padded(state, 9) + padded(gap.value("id", json("")).get<std::string>(), 20) +
                     " " + (lifted ? "" : describe(gap));
  if (gap.contains("gapped"))
    text += " (" + gap["passed"].dump() + " passed, " + gap["gapped"].dump() + " gapped)";
  return text + "\n";
}

std::string hot_number_row(const json& hot) {
  return "  hot      " + hot.value("number", json("")).get<std::string>() + ": " + hot["per_second"].dump() +
         " calls a second\n";
}

std::string gatekeeper_row(const json& gatekeeper) {
  return "  gatekeeper " + padded(gatekeeper.value("name", json("")).get<std::string>(), 12) + " " +
         gatekeeper.value("address", json("")).get<std::string>() +
         (gatekeeper.value("synced", false) ? " obeys" : " is NOT in step") + "\n";
}

std::string member_row(const json& member) {
  const auto text = [&member](const char* name) {
    const json value = member.value(name, json(""));
    return value.is_string() ? value.get<std::string>() : value.dump();
  };
  return "  " + padded(text("name"), 16) + " " + padded(text("state"), 8) + " " +
         padded("for " + text("since_ms") + " ms", 18) + " " + padded(text("reach"), 15) + " " +
         padded(text("address"), 22) + " life " + text("life") + "." + text("incarnation") + ", " +
         text("evidence") + (member.contains("accuser") ? ", says " + text("accuser") : "") + "\n";
}

}  // namespace

GapClient::GapClient(GapClientSettings settings) : settings_(std::move(settings)) {
  for (const std::string& address : settings_.addresses) {
    Target target;
    target.address = address;
    targets_.push_back(std::move(target));
  }
}

void GapClient::step(Time now, const net::Event& event, net::Effects& effects) {
  Outbox out;
  net::dispatch(
      event, [&](const auto& value) requires requires { on(now, value, out); } { on(now, value, out); });
  effects = std::move(out.net);
}

GapClient::Target* GapClient::target_of(net::ConnId conn) {
  return conn.number >= 1 && conn.number <= targets_.size() ? &targets_[conn.number - 1] : nullptr;
}

void GapClient::send(const Target& target, const json& line, Outbox& out) const {
  const auto number = static_cast<std::uint32_t>(&target - targets_.data()) + 1;
  out.send({net::Concern::control_client, number}, line_of(line));
}

void GapClient::on(Time now, const net::Started&, Outbox& out) {
  started_at_ = now;
  for (std::uint32_t i = 0; i < targets_.size(); ++i)
    out.net.push_back(
        net::Connect{{net::Concern::control_client, i + 1}, targets_[i].address, kConnectTimeout});
  if (settings_.command != GapClientSettings::Command::watch || settings_.timeout > Duration{})
    out.arm(net::Concern::process, 0, now + settings_.timeout);
}

void GapClient::on(Time, const net::Connected& event, Outbox& out) {
  Target* target = target_of(event.conn);
  if (target == nullptr) return;
  target->connected = true;
  if (is_fleet_command()) {
    constexpr const char* kOperations[] = {"members", "view", "leave"};
    const auto index = static_cast<std::size_t>(settings_.command) -
                       static_cast<std::size_t>(GapClientSettings::Command::members);
    send(*target, {{"op", "fleet"}, {"what", kOperations[index]}}, out);
  } else if (settings_.command == GapClientSettings::Command::announce) {
    send(*target, {{"op", "announce"}, {"gap", to_json(*settings_.announcement)}}, out);
  } else {
    send(*target, {{"op", settings_.command == GapClientSettings::Command::list ? "list" : "watch"}}, out);
  }
}

void GapClient::fail_target(Time, Target& target, const std::string& reason, Outbox& out) {
  if (target.done) return;
  target.done = target.failed = true;
  target.result = reason;
  if (settings_.command == GapClientSettings::Command::watch)
    out.net.push_back(net::Print{settings_.json ? line_of({{"address", target.address}, {"trouble", reason}})
                                                : target.address + ": " + reason + "\n",
                                 true});
  finish_if_complete(out);
}

void GapClient::on(Time now, const net::ConnectFailed& event, Outbox& out) {
  if (Target* target = target_of(event.conn))
    fail_target(now, *target, event.refused ? "nobody listens there" : "it does not answer", out);
}

void GapClient::on(Time now, const net::Closed& event, Outbox& out) {
  if (Target* target = target_of(event.conn)) fail_target(now, *target, "it closed the connection", out);
}

void GapClient::on(Time now, const net::Received& event, Outbox& out) {
  Target* target = target_of(event.conn);
  if (target == nullptr || finished_) return;
  const auto used = read_lines(
      event.bytes,
      [&](const json& line) {
        if (!finished_) handle_line(now, *target, line, out);
      },
      [&](const json&, const std::string& reason) {
        fail_target(now, *target, "it answers what can't be read: " + reason, out);
      });
  if (!used) return fail_target(now, *target, "it answers what can't be read", out);
  out.net.push_back(net::Consume{event.conn, *used});
}

void GapClient::on(Time, const net::TimerFired& event, Outbox& out) {
  if (event.key.concern == net::Concern::process && !finished_) print_result(out);
}

void GapClient::on(Time, const net::StopRequested&, Outbox& out) {
  if (!finished_) print_result(out);
}

void GapClient::handle_line(Time now, Target& target, const json& line, Outbox& out) {
  const std::string event = line.contains("event") ? text_in(line, "event") : "";
  if (line.contains("gatekeeper") && event != "obeyed") target.name = text_in(line, "gatekeeper");
  switch (settings_.command) {
    case GapClientSettings::Command::watch:
      if (!event.empty()) print_event(target, event, line, out);
      return;
    case GapClientSettings::Command::announce:
      return handle_announce_answer(now, target, event, line, out);
    case GapClientSettings::Command::list:
      return handle_list_answer(target, line, out);
    case GapClientSettings::Command::members:
    case GapClientSettings::Command::view:
    case GapClientSettings::Command::leave:
      return handle_fleet_answer(target, line, out);
  }
}

void GapClient::print_event(const Target& target, const std::string& event, const json& line,
                            Outbox& out) const {
  if (settings_.json) {
    out.net.push_back(net::Print{line_of(line), true});
    return;
  }
  std::string text = target.name + ": " + event + " ";
  if (line.contains("gap")) text += text_in(line["gap"], "id") + ": " + describe(line["gap"]);
  if (line.contains("number")) text += line["number"].dump();
  if (event == "conflict") text += text_in(line, "id") + ", version " + line.value("version", json(0)).dump();
  if (event == "fleet")
    text += text_in(line, "member") + " " + text_in(line, "what") + ": " + text_in(line, "evidence");
  out.net.push_back(net::Print{text + "\n", true});
}

// The answer to the announcement, or from a gap publisher the answer of one gatekeeper of its fleet.
void GapClient::handle_announce_answer(Time now, Target& target, const std::string& event, const json& line,
                                       Outbox& out) {
  if (event == "obeyed" && text_in(line, "id") == settings_.announcement->id) {
    json obeyed = line;
    obeyed["after_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now - started_at_).count();
    target.obeyed[text_in(line, "address")] = std::move(obeyed);
  }
  if (line.value("re", json("")) == "announce" && event.empty()) {
    target.succeeded = line.value("ok", false);
    target.result = line.value("result", json("refused")).get<std::string>();
    if (line.contains("trouble")) target.result += ": " + text_in(line, "trouble");
    target.result += " after " + ms_text(now - started_at_);
    if (line.contains("gatekeepers"))
      target.gatekeepers = static_cast<std::size_t>(integer_in(line, "gatekeepers", 0, 4096));
    if (!target.succeeded) target.gatekeepers = 0;
  } else if (event.empty()) {
    return;
  }
  target.done = !target.result.empty() && target.obeyed.size() >= target.gatekeepers;
  finish_if_complete(out);
}

void GapClient::handle_fleet_answer(Target& target, const json& line, Outbox& out) {
  if (line.value("re", json("")) != "fleet") return;
  const json page = line.value("members", json::array());
  json members =
      target.fleet_answer.is_object() ? target.fleet_answer.value("members", json::array()) : json::array();
  for (const json& member : page) members.push_back(member);
  target.fleet_answer = line;
  target.fleet_answer["members"] = std::move(members);
  if (line.value("more", false) && !page.empty()) {
    const std::string last = text_in(page.back(), "name");
    return send(target, {{"op", "fleet"}, {"what", "members"}, {"after", last}}, out);
  }
  target.done = true;
  target.succeeded = line.value("ok", false);
  if (target.succeeded) {
    target.digest = text_in(line, "digest");
  } else {
    target.result = line.contains("trouble") ? text_in(line, "trouble") : "refused";
  }
  finish_if_complete(out);
}

void GapClient::handle_list_answer(Target& target, const json& line, Outbox& out) {
  if (line.value("re", json("")) != "list") return;
  const auto gaps = line.find("gaps");
  if (gaps == line.end() || !gaps->is_array()) throw ProtocolError("a list has no 'gaps'");
  for (const json& gap : *gaps) target.gaps.push_back(gap);
  target.digest = text_in(line, "digest");
  target.held = static_cast<std::size_t>(integer_in(line, "held", 0, 1'000'000'000));
  if (line.contains("hot")) target.hot = line["hot"];
  if (line.contains("fleet") && line["fleet"].is_array()) target.fleet = line["fleet"];
  if (line.value("more", false) && !gaps->empty())
    return send(target, {{"op", "list"}, {"after", text_in(gaps->back(), "id")}}, out);
  target.done = target.succeeded = true;
  target.result = "listed";
  finish_if_complete(out);
}

void GapClient::finish_if_complete(Outbox& out) {
  if (finished_ ||
      !std::all_of(targets_.begin(), targets_.end(), [](const Target& target) { return target.done; }))
    return;
  print_result(out);
}

std::string GapClient::announce_report() const {
  json entries = json::array();
  std::string text;
  for (const Target& target : targets_) {
    const std::string result = target.result.empty() ? "no answer" : target.result;
    json entry = {
        {"address", target.address}, {"name", target.name}, {"ok", target.succeeded}, {"result", result}};
    text += padded(target.name, 12) + " " + padded(target.address, 22) + " " + result + "\n";
    if (target.gatekeepers > 0) {
      text += "  " + std::to_string(target.obeyed.size()) + " of " + std::to_string(target.gatekeepers) +
              " gatekeepers obey\n";
      entry["gatekeepers"] = target.gatekeepers;
      entry["obeyed"] = json::array();
    }
    for (const auto& [address, answer] : target.obeyed) {
      text += "  " + padded(answer.value("gatekeeper", json("")).get<std::string>(), 12) + " " +
              padded(address, 22) + " " + answer.value("result", json("")).get<std::string>() + " after " +
              answer["after_ms"].dump() + " ms\n";
      entry["obeyed"].push_back({{"address", address},
                                 {"name", answer.value("gatekeeper", json(""))},
                                 {"result", answer.value("result", json(""))},
                                 {"after_ms", answer["after_ms"]}});
    }
    entries.push_back(std::move(entry));
  }
  return settings_.json ? line_of({{"id", settings_.announcement->id},
                                   {"version", settings_.announcement->version},
                                   {"targets", std::move(entries)}})
                        : text;
}

std::string GapClient::list_report() const {
  json entries = json::array();
  std::string text;
  for (const Target& target : targets_) {
    json entry = {{"address", target.address}, {"name", target.name}, {"ok", target.succeeded},
                  {"digest", target.digest},   {"gaps", target.gaps}, {"fleet", target.fleet},
                  {"hot", target.hot}};
    if (!target.succeeded) entry["trouble"] = error_of(target);
    text += target.name + " " + target.address +
            (target.succeeded ? " holds " + target.digest : ": " + error_of(target)) + "\n";
    for (const json& gap : target.gaps) text += gap_row(gap);
    for (const json& hot : target.hot) text += hot_number_row(hot);
    for (const json& gatekeeper : target.fleet) text += gatekeeper_row(gatekeeper);
    entries.push_back(std::move(entry));
  }
  return settings_.json ? line_of({{"targets", std::move(entries)}}) : text;
}

std::string GapClient::fleet_report() const {
  json entries = json::array();
  std::string text;
  for (const Target& target : targets_) {
    json entry = {{"address", target.address}, {"name", target.name}, {"ok", target.succeeded}};
    if (target.succeeded) {
      entry["view"] = target.fleet_answer;
      text += view_row(target);
      for (const json& member : target.fleet_answer.value("members", json::array()))
        text += member_row(member);
    } else {
      entry["trouble"] = error_of(target);
      text += target.name + " " + target.address + ": " + error_of(target) + "\n";
    }
    entries.push_back(std::move(entry));
  }
  return settings_.json ? line_of({{"targets", std::move(entries)}}) : text;
}

std::string GapClient::view_row(const Target& target) {
  const json& view = target.fleet_answer;
  const auto number = [&view](const char* name) { return view.value(name, json(0)).dump(); };
  return padded(target.name, 12) + " " + padded(target.address, 22) + " " +
         (view.value("settled", false) ? "settled for " : "NOT settled, for ") + number("since_ms") +
         " ms: " + number("size") + " members, in touch with " + number("in_touch") + ", digest " +
         target.digest + (view.value("member", true) ? "" : ", takes no part itself") +
         (view.value("catching_up", false) ? ", was stopped and catches up" : "") + "\n";
}

std::string GapClient::error_of(const Target& target) {
  return target.result.empty() ? "no answer" : target.result;
}

bool GapClient::all_obey_or_agree() const {
  bool agree = true;
  std::string digest;
  for (const Target& target : targets_) {
    agree = agree && target.succeeded && target.obeyed.size() >= target.gatekeepers;
    for (const auto& [address, obeyed] : target.obeyed) agree = agree && obeyed.value("ok", false);
    for (const json& gatekeeper : target.fleet) agree = agree && gatekeeper.value("synced", false);
    if (!digest.empty() && target.digest != digest) agree = false;
    digest = target.digest;
  }
  return agree;
}

bool GapClient::all_are_settled() const {
  if (settings_.command == GapClientSettings::Command::leave) return true;
  return std::ranges::all_of(
      targets_, [](const Target& target) { return target.fleet_answer.value("settled", false); });
}

void GapClient::print_result(Outbox& out) {
  finished_ = true;
  const bool any_reached =
      std::ranges::any_of(targets_, [](const Target& target) { return target.connected; });
  bool complete = all_obey_or_agree();
  const auto print = [&out](std::string text) { out.net.push_back(net::Print{std::move(text), true}); };
  if (settings_.command == GapClientSettings::Command::announce) print(announce_report());
  if (settings_.command == GapClientSettings::Command::list) {
    print(list_report());
    if (any_reached && !complete && !settings_.json) print("they do NOT all hold the same\n");
  }
  if (is_fleet_command()) {
    print(fleet_report());
    complete = complete && all_are_settled();
    if (any_reached && !complete && !settings_.json)
      print("they do NOT all hold the same, or are not settled\n");
  }
  const bool watching = settings_.command == GapClientSettings::Command::watch;
  out.net.push_back(net::Exit{!any_reached ? kUnreachable : complete || watching ? kSuccess : kIncomplete});
}

}  // namespace graniterun::control
