#include "control/gap_client.h"

#include <algorithm>

namespace graniterun::control {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr Duration kConnectTimeout = 2s;

std::string ms_text(Duration d) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count()) + " ms";
}

std::string padded(std::string text, std::size_t width) {
  text.resize(std::max(width, text.size()), ' ');
  return text;
}

// A gap in a few words, for a person.
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

}  // namespace

GapClient::GapClient(GapClientSettings settings) : settings_(std::move(settings)) {
  for (const std::string& address : settings_.addresses) {
    Target t;
    t.address = address;
    targets_.push_back(std::move(t));
  }
}

void GapClient::step(Time now, const net::Event& event, net::Effects& effects) {
  Outbox out;
  std::visit(
      [&](const auto& e) {
        if constexpr (requires { on(now, e, out); }) on(now, e, out);
      },
      event);
  effects = std::move(out.net);
}

GapClient::Target* GapClient::target_of(net::ConnId conn) {
  return conn.number >= 1 && conn.number <= targets_.size() ? &targets_[conn.number - 1] : nullptr;
}

void GapClient::send(const Target& t, const json& line, Outbox& out) const {
  const auto number = static_cast<std::uint32_t>(&t - targets_.data()) + 1;
  out.send({net::Concern::control_client, number}, line_of(line));
}

void GapClient::on(Time now, const net::Started&, Outbox& out) {
  started_ = now;
  for (std::uint32_t i = 0; i < targets_.size(); ++i)
    out.net.push_back(
        net::Connect{{net::Concern::control_client, i + 1}, targets_[i].address, kConnectTimeout});
  if (settings_.command != GapClientSettings::Command::watch || settings_.timeout > Duration{})
    out.arm(net::Concern::process, 0, now + settings_.timeout);
}

void GapClient::on(Time, const net::Connected& e, Outbox& out) {
  Target* t = target_of(e.conn);
  if (t == nullptr) return;
  t->connected = true;
  if (is_fleet_command()) {
    constexpr const char* kWhat[] = {"members", "view", "leave"};
    const auto at = static_cast<std::size_t>(settings_.command) -
                    static_cast<std::size_t>(GapClientSettings::Command::members);
    send(*t, {{"op", "fleet"}, {"what", kWhat[at]}}, out);
  } else if (settings_.command == GapClientSettings::Command::announce) {
    send(*t, {{"op", "announce"}, {"gap", to_json(*settings_.announcement)}}, out);
  } else {
    send(*t, {{"op", settings_.command == GapClientSettings::Command::list ? "list" : "watch"}}, out);
  }
}

void GapClient::fail_target(Time, Target& t, const std::string& why, Outbox& out) {
  if (t.done) return;
  t.done = t.failed = true;
  t.result = why;
  if (settings_.command == GapClientSettings::Command::watch)
    out.net.push_back(net::Print{
        settings_.json ? line_of({{"address", t.address}, {"trouble", why}}) : t.address + ": " + why + "\n",
        true});
  finish_if_complete(out);
}

void GapClient::on(Time now, const net::ConnectFailed& e, Outbox& out) {
  if (Target* t = target_of(e.conn))
    fail_target(now, *t, e.refused ? "nobody listens there" : "it does not answer", out);
}

void GapClient::on(Time now, const net::Closed& e, Outbox& out) {
  if (Target* t = target_of(e.conn)) fail_target(now, *t, "it closed the connection", out);
}

void GapClient::on(Time now, const net::Received& e, Outbox& out) {
  Target* t = target_of(e.conn);
  if (t == nullptr || finished_) return;
  const auto used = read_lines(
      e.bytes,
      [&](const json& line) {
        if (!finished_) handle_line(now, *t, line, out);
      },
      [&](const json&, const std::string& trouble) {
        fail_target(now, *t, "it answers what can't be read: " + trouble, out);
      });
  if (!used) return fail_target(now, *t, "it answers what can't be read", out);
  out.net.push_back(net::Consume{e.conn, *used});
}

void GapClient::on(Time, const net::TimerFired& e, Outbox& out) {
  if (e.key.concern == net::Concern::process && !finished_) print_result(out);
}

void GapClient::on(Time, const net::StopRequested&, Outbox& out) {
  if (!finished_) print_result(out);
}

void GapClient::handle_line(Time now, Target& t, const json& line, Outbox& out) {
  const std::string event = line.contains("event") ? text_in(line, "event") : "";
  if (line.contains("gatekeeper") && event != "obeyed") t.name = text_in(line, "gatekeeper");
  if (settings_.command == GapClientSettings::Command::watch) {
    if (event.empty()) return;
    std::string text = settings_.json ? line_of(line) : "";
    if (!settings_.json) {
      text = t.name + ": " + event + " ";
      if (line.contains("gap")) text += text_in(line["gap"], "id") + ": " + describe(line["gap"]);
      if (line.contains("number")) text += line["number"].dump();
      if (event == "conflict")
        text += text_in(line, "id") + ", version " + line.value("version", json(0)).dump();
      if (event == "fleet")
        text += text_in(line, "member") + " " + text_in(line, "what") + ": " + text_in(line, "evidence");
      text += "\n";
    }
    out.net.push_back(net::Print{std::move(text), true});
    return;
  }
  if (settings_.command == GapClientSettings::Command::announce) {
    if (event == "obeyed" && text_in(line, "id") == settings_.announcement->id) {
      json told = line;
      told["after_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now - started_).count();
      t.obeyed[text_in(line, "address")] = std::move(told);
    }
    if (line.value("re", json("")) == "announce" && event.empty()) {
      t.succeeded = line.value("ok", false);
      t.result = line.value("result", json("refused")).get<std::string>();
      if (line.contains("trouble")) t.result += ": " + text_in(line, "trouble");
      t.result += " after " + ms_text(now - started_);
      if (line.contains("gatekeepers"))
        t.gatekeepers = static_cast<std::size_t>(integer_in(line, "gatekeepers", 0, 4096));
      if (!t.succeeded) t.gatekeepers = 0;
    } else if (event.empty()) {
      return;
    }
    t.done = !t.result.empty() && t.obeyed.size() >= t.gatekeepers;
    return finish_if_complete(out);
  }
  if (is_fleet_command()) {
    if (line.value("re", json("")) != "fleet") return;
    json members =
        t.fleet_answer.is_object() ? t.fleet_answer.value("members", json::array()) : json::array();
    for (const json& m : line.value("members", json::array())) members.push_back(m);
    t.fleet_answer = line;
    t.fleet_answer["members"] = std::move(members);
    if (line.value("more", false) && !line["members"].empty())
      return send(
          t, {{"op", "fleet"}, {"what", "members"}, {"after", text_in(line["members"].back(), "name")}}, out);
    t.done = true;
    t.succeeded = line.value("ok", false);
    if (t.succeeded) {
      t.digest = text_in(line, "digest");
    } else {
      t.result = line.contains("trouble") ? text_in(line, "trouble") : "refused";
    }
    return finish_if_complete(out);
  }
  if (line.value("re", json("")) != "list") return;
  const auto gaps = line.find("gaps");
  if (gaps == line.end() || !gaps->is_array()) throw ProtocolError("a list has no 'gaps'");
  for (const json& gap : *gaps) t.gaps.push_back(gap);
  t.digest = text_in(line, "digest");
  t.held = static_cast<std::size_t>(integer_in(line, "held", 0, 1'000'000'000));
  if (line.contains("hot")) t.hot = line["hot"];
  if (line.contains("fleet") && line["fleet"].is_array()) t.fleet = line["fleet"];
  if (line.value("more", false) && !gaps->empty())
    return send(t, {{"op", "list"}, {"after", text_in(gaps->back(), "id")}}, out);
  t.done = t.succeeded = true;
  t.result = "listed";
  finish_if_complete(out);
}

void GapClient::finish_if_complete(Outbox& out) {
  if (finished_ || !std::all_of(targets_.begin(), targets_.end(), [](const Target& t) { return t.done; }))
    return;
  print_result(out);
}

std::string GapClient::announced_text() const {
  json all = json::array();
  std::string text;
  for (const Target& t : targets_) {
    const std::string result = t.result.empty() ? "no answer" : t.result;
    json one = {{"address", t.address}, {"name", t.name}, {"ok", t.succeeded}, {"result", result}};
    text += padded(t.name, 12) + " " + padded(t.address, 22) + " " + result + "\n";
    if (t.gatekeepers > 0) {
      text += "  " + std::to_string(t.obeyed.size()) + " of " + std::to_string(t.gatekeepers) +
              " gatekeepers obey\n";
      one["gatekeepers"] = t.gatekeepers;
      one["obeyed"] = json::array();
    }
    for (const auto& [address, told] : t.obeyed) {
      text += "  " + padded(told.value("gatekeeper", json("")).get<std::string>(), 12) + " " +
              padded(address, 22) + " " + told.value("result", json("")).get<std::string>() + " after " +
              told["after_ms"].dump() + " ms\n";
      one["obeyed"].push_back({{"address", address},
                               {"name", told.value("gatekeeper", json(""))},
                               {"result", told.value("result", json(""))},
                               {"after_ms", told["after_ms"]}});
    }
    all.push_back(std::move(one));
  }
  return settings_.json ? line_of({{"id", settings_.announcement->id},
                                   {"version", settings_.announcement->version},
                                   {"targets", std::move(all)}})
                        : text;
}

std::string GapClient::listed_text() const {
  json all = json::array();
  std::string text;
  for (const Target& t : targets_) {
    json one = {{"address", t.address}, {"name", t.name},   {"ok", t.succeeded}, {"digest", t.digest},
                {"gaps", t.gaps},       {"fleet", t.fleet}, {"hot", t.hot}};
    if (!t.succeeded) one["trouble"] = t.result.empty() ? "no answer" : t.result;
    text += t.name + " " + t.address +
            (t.succeeded ? " holds " + t.digest : ": " + one["trouble"].get<std::string>()) + "\n";
    for (const json& gap : t.gaps) {
      const bool lifted = gap.value("lifted", false);
      text += "  " +
              padded(gap.value("in_force", false) ? "in force"
                     : lifted                     ? "lifted"
                                                  : "not now",
                     9) +
              padded(gap.value("id", json("")).get<std::string>(), 20) + " " + (lifted ? "" : describe(gap));
      if (gap.contains("gapped"))
        text += " (" + gap["passed"].dump() + " passed, " + gap["gapped"].dump() + " gapped)";
      text += "\n";
    }
    for (const json& hot : t.hot)
      text += "  hot      " + hot.value("number", json("")).get<std::string>() + ": " +
              hot["per_second"].dump() + " calls a second\n";
    for (const json& g : t.fleet)
      text += "  gatekeeper " + padded(g.value("name", json("")).get<std::string>(), 12) + " " +
              g.value("address", json("")).get<std::string>() +
              (g.value("synced", false) ? " obeys" : " is NOT in step") + "\n";
    all.push_back(std::move(one));
  }
  return settings_.json ? line_of({{"targets", std::move(all)}}) : text;
}

std::string GapClient::fleet_text() const {
  json all = json::array();
  std::string text;
  for (const Target& t : targets_) {
    json one = {{"address", t.address}, {"name", t.name}, {"ok", t.succeeded}};
    if (!t.succeeded) {
      one["trouble"] = t.result.empty() ? "no answer" : t.result;
      text += t.name + " " + t.address + ": " + one["trouble"].get<std::string>() + "\n";
      all.push_back(std::move(one));
      continue;
    }
    one["view"] = t.fleet_answer;
    const auto figure = [&](const char* name) { return t.fleet_answer.value(name, json(0)).dump(); };
    text += padded(t.name, 12) + " " + padded(t.address, 22) + " " +
            (t.fleet_answer.value("settled", false) ? "settled for " : "NOT settled, for ") +
            figure("since_ms") + " ms: " + figure("size") + " members, in touch with " + figure("in_touch") +
            ", digest " + t.digest + (t.fleet_answer.value("member", true) ? "" : ", takes no part itself") +
            (t.fleet_answer.value("catching_up", false) ? ", was stopped and catches up" : "") + "\n";
    for (const json& m : t.fleet_answer.value("members", json::array())) {
      const auto word = [&](const char* name) {
        const json value = m.value(name, json(""));
        return value.is_string() ? value.get<std::string>() : value.dump();
      };
      text += "  " + padded(word("name"), 16) + " " + padded(word("state"), 8) + " " +
              padded("for " + word("since_ms") + " ms", 18) + " " + padded(word("reach"), 15) + " " +
              padded(word("address"), 22) + " life " + word("life") + "." + word("incarnation") + ", " +
              word("evidence") + (m.contains("accuser") ? ", says " + word("accuser") : "") + "\n";
    }
    all.push_back(std::move(one));
  }
  return settings_.json ? line_of({{"targets", std::move(all)}}) : text;
}

void GapClient::print_result(Outbox& out) {
  finished_ = true;
  bool all = true;
  bool any = false;
  std::string digest;
  for (const Target& t : targets_) {
    any = any || t.connected;
    all = all && t.succeeded && t.obeyed.size() >= t.gatekeepers;
    for (const auto& [address, told] : t.obeyed) all = all && told.value("ok", false);
    for (const json& g : t.fleet) all = all && g.value("synced", false);
    if (!digest.empty() && t.digest != digest) all = false;
    digest = t.digest;
  }
  if (settings_.command == GapClientSettings::Command::announce)
    out.net.push_back(net::Print{announced_text(), true});
  if (settings_.command == GapClientSettings::Command::list) {
    out.net.push_back(net::Print{listed_text(), true});
    if (any && !all && !settings_.json)
      out.net.push_back(net::Print{"they do NOT all hold the same\n", true});
  }
  if (is_fleet_command()) {
    out.net.push_back(net::Print{fleet_text(), true});
    for (const Target& t : targets_)
      all = all && (settings_.command == GapClientSettings::Command::leave ||
                    t.fleet_answer.value("settled", false));
    if (any && !all && !settings_.json)
      out.net.push_back(net::Print{"they do NOT all hold the same, or are not settled\n", true});
  }
  const bool watched = settings_.command == GapClientSettings::Command::watch;
  out.net.push_back(net::Exit{!any ? kUnreachable : all || watched ? kSuccess : kIncomplete});
}

}  // namespace graniterun::control
