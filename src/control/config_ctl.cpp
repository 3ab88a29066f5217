#include "control/config_ctl.h"

#include <algorithm>

namespace graniterun::control {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr Duration kConnectTimeout = 1s;
constexpr Duration kAskEvery = 200ms;
constexpr Duration kLateAnswer = 1s;
constexpr std::size_t kNamesAsked = 100;  // in one question, and of so many bytes
constexpr std::size_t kNamesBytes = 16 * 1024;
constexpr std::size_t kNamesSaid = 20;  // of each list, to a person
constexpr std::int64_t kMostCount = 1'000'000'000;

std::size_t count_in(const json& object, const char* name) {
  return static_cast<std::size_t>(integer_in(object, name, 0, kMostCount));
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
    if (said == kNamesSaid) break;
    all += "  " + text(one) + "\n";
    ++said;
  }
  if (total > said) all += "  and " + std::to_string(total - said) + " more\n";
  return all;
}

std::string prefix_of(const std::string& digest) { return digest.substr(0, 12); }

}  // namespace

ConfigCtl::ConfigCtl(ConfigCtlSettings settings) : settings_(std::move(settings)) {
  for (const std::string& address : settings_.to) {
    Target t;
    t.address = address;
    targets_.push_back(std::move(t));
  }
  if (settings_.what == ConfigCtlSettings::What::publish) stage_ = Stage::publishing;
}

void ConfigCtl::step(Time now, const net::Event& event, net::Effects& effects) {
  Outbox out;
  std::visit(
      [&](const auto& e) {
        if constexpr (requires { on(now, e, out); }) on(now, e, out);
      },
      event);
  effects = std::move(out.net);
}

ConfigCtl::Target* ConfigCtl::of(net::ConnId conn) {
  return conn.number >= 1 && conn.number <= targets_.size() ? &targets_[conn.number - 1] : nullptr;
}

void ConfigCtl::send(const Target& t, const json& line, Outbox& out) const {
  const auto number = static_cast<std::uint32_t>(&t - targets_.data()) + 1;
  out.send({net::Concern::control_client, number}, line_of(line));
}

std::size_t ConfigCtl::reached() const {
  return static_cast<std::size_t>(std::ranges::count_if(targets_, [](const Target& t) { return t.up; }));
}

// ---- connections

void ConfigCtl::on(Time now, const net::Started&, Outbox& out) {
  for (std::uint32_t i = 0; i < targets_.size(); ++i)
    out.net.push_back(
        net::Connect{{net::Concern::control_client, i + 1}, targets_[i].address, kConnectTimeout});
  out.arm(net::Concern::process, 0, now + settings_.within);
  round_began_ = now;
}

void ConfigCtl::on(Time now, const net::Connected& e, Outbox& out) {
  Target* t = of(e.conn);
  if (t == nullptr || finished_) return;
  t->up = true;
  if (stage_ == Stage::publishing) return publish_next(now, out);
  go_on(now, out);
}

void ConfigCtl::fail(Time now, Target& t, const std::string& why, Outbox& out) {
  if (finished_ || !t.trouble.empty()) return;
  const bool lost_in_it = stage_ == Stage::publishing && sent_ && &t == &targets_[publisher_];
  t.trouble = why;
  t.up = false;
  t.owed = 0;
  t.parts.clear();
  t.lost.clear();
  if (lost_in_it) {
    say(out,
        t.address + ": " + why +
            " after the document was sent. It is not known whether it is in force: look at the status\n",
        {{"service", settings_.service},
         {"committed", nullptr},
         {"trouble", "not known whether it is in force: look at the status"}});
    return stop(kNotAll, out);
  }
  if (stage_ == Stage::publishing) return publish_next(now, out);
  go_on(now, out);
}

void ConfigCtl::on(Time now, const net::ConnectFailed& e, Outbox& out) {
  if (Target* t = of(e.conn)) fail(now, *t, e.refused ? "nobody listens there" : "it does not answer", out);
}

void ConfigCtl::on(Time now, const net::Closed& e, Outbox& out) {
  if (Target* t = of(e.conn)) fail(now, *t, "it closed the connection", out);
}

void ConfigCtl::on(Time now, const net::Received& e, Outbox& out) {
  Target* t = of(e.conn);
  if (t == nullptr || finished_ || !t->trouble.empty()) return;
  const auto used = read_lines(
      e.bytes,
      [&](const json& line) {
        if (!finished_ && t->trouble.empty()) take(now, *t, line, out);
      },
      [&](const json&, const std::string& trouble) {
        fail(now, *t, "it answers what can't be read (" + trouble + ")", out);
      });
  if (!used) return fail(now, *t, "it answers what can't be read", out);
  out.net.push_back(net::Consume{e.conn, *used});
}

void ConfigCtl::on(Time now, const net::TimerFired& e, Outbox& out) {
  if (e.key.concern != net::Concern::process || finished_) return;
  if (e.key.number != 0) {
    if (stage_ == Stage::resting) begin_round(now, out);
    return;
  }
  // The time is over.
  if (stage_ == Stage::publishing && sent_) return fail(now, targets_[publisher_], "no answer in time", out);
  // One that owes an answer for long, not one that was asked just now.
  const bool late = !judged_ || now - round_began_ > kLateAnswer;
  for (Target& t : targets_) {
    if (t.trouble.empty() && (!t.up || (t.owed > 0 && late))) t.trouble = "no answer in time";
    if (!t.trouble.empty()) t.up = false;
  }
  if (stage_ == Stage::publishing || reached() == 0) return finish(out);
  if (!judged_) {  // what has come so far
    sums_ = sums();
    for (const Target& t : targets_) not_heard_of_.insert(t.lost.begin(), t.lost.end());
    for (const std::string& name : found_) not_heard_of_.erase(name);
  }
  finish(out);
}

void ConfigCtl::on(Time, const net::StopRequested&, Outbox& out) {
  if (!finished_) finish(out);
}

void ConfigCtl::take(Time now, Target& t, const json& line, Outbox& out) {
  if (!line.contains("re")) return;  // an event
  if (text_in(line, "re") != "config") return;
  if (line.contains("distributor")) t.name = text_in(line, "distributor");
  const std::string what = text_in(line, "what");
  if (what == "publish") return take_published(now, t, line, out);
  if (!flag_in(line, "ok"))
    return fail(now, t, line.contains("trouble") ? text_in(line, "trouble") : "it refuses to tell", out);
  if (what == "status") {
    take_status(t, line, out);
  } else if (what == "attached") {
    for (const json& name : list_in(line, "names")) {
      if (name.is_string()) found_.insert(name.get<std::string>());
    }
    if (t.owed > 0) --t.owed;
  } else {
    return;
  }
  go_on(now, out);
}

// ---- publishing

// At the first address, in their order, that can be reached: the next one only where it was not sent.
void ConfigCtl::publish_next(Time, Outbox& out) {
  if (sent_) return;
  while (publisher_ < targets_.size() && !targets_[publisher_].trouble.empty()) ++publisher_;
  if (publisher_ == targets_.size()) return finish(out);
  if (!targets_[publisher_].up) return;
  sent_ = true;
  send(
      targets_[publisher_],
      {{"op", "config"}, {"what", "publish"}, {"service", settings_.service}, {"content", settings_.content}},
      out);
}

void ConfigCtl::take_published(Time now, Target& t, const json& line, Outbox& out) {
  if (stage_ != Stage::publishing || !sent_ || &t != &targets_[publisher_]) return;
  if (!flag_in(line, "ok")) {
    const std::string why = line.contains("trouble") ? text_in(line, "trouble") : "refused";
    // One without a vote has begun nothing: the next one may.
    if (line.contains("standing") && text_in(line, "standing") != "voting" &&
        publisher_ + 1 < targets_.size()) {
      ++publisher_;
      sent_ = false;
      without_vote_ = t.name + " " + t.address + ": not published: " + why + "\n";
      return publish_next(now, out);
    }
    say(out, t.name + " " + t.address + ": not published: " + why + "\n",
        {{"service", settings_.service}, {"committed", false}, {"by", t.name}, {"trouble", why}});
    return stop(kNotAll, out);
  }
  version_ = static_cast<distribution::Version>(integer_in(line, "version", 1, std::int64_t{1} << 53));
  digest_ = text_in(line, "digest");
  by_ = t.name;
  if (!settings_.wait) return finish(out);
  begin_round(now, out);
}

// ---- how far it has come: all are asked, then of the names that are gone at one, the others

void ConfigCtl::begin_round(Time now, Outbox& out) {
  stage_ = Stage::statuses;
  round_began_ = now;
  found_.clear();
  for (Target& t : targets_) {
    t.parts.clear();
    t.lost.clear();
    t.standing.clear();
    t.owed = 0;
    t.asked = false;
  }
  go_on(now, out);
}

void ConfigCtl::take_status(Target& t, const json& line, Outbox& out) {
  if (stage_ != Stage::statuses) throw ProtocolError("a status that nobody asked for");
  t.standing = text_in(line, "standing");
  const auto read = [&](const json& one) {
    Part part;
    part.version = static_cast<distribution::Version>(integer_in(one, "version", 0, std::int64_t{1} << 53));
    if (one.contains("digest")) part.digest = text_in(one, "digest");
    part.subscribed = count_in(one, "subscribed");
    part.in_force = count_in(one, "in_force");
    part.refused_all = count_in(one, "refused_all");
    part.behind_all = count_in(one, "behind_all");
    return part;
  };
  json next = {{"op", "config"}, {"what", "status"}};
  if (line.contains("services")) {
    for (const json& one : list_in(line, "services")) {
      if (!one.is_object()) throw ProtocolError("'services' holds what is no object");
      t.parts[text_in(one, "service")] = read(one);
    }
    if (!flag_in(line, "more") || t.parts.empty()) {
      t.owed = 0;
      return;
    }
    next["after"] = t.parts.rbegin()->first;
  } else {
    const std::string service = text_in(line, "service");
    if (!t.parts.contains(service)) {  // the first line of several
      Part part = read(line);
      for (const json& r : list_in(line, "refused")) {
        if (!r.is_object()) throw ProtocolError("'refused' holds what is no object");
        part.refused.push_back({text_in(r, "name"), text_in(r, "reason")});
      }
      for (const json& name : list_in(line, "behind")) {
        if (name.is_string()) part.behind.push_back(name.get<std::string>());
      }
      t.parts[service] = std::move(part);
    }
    const json& lost = list_in(line, "lost");
    for (const json& l : lost) {
      if (!l.is_object()) throw ProtocolError("'lost' holds what is no object");
      t.lost[text_in(l, "name")] = integer_in(l, "ago_ms", 0, std::int64_t{1} << 53);
    }
    if (!flag_in(line, "more") || lost.empty()) {
      t.owed = 0;
      return;
    }
    next["service"] = service;
    next["after"] = t.lost.rbegin()->first;
  }
  send(t, next, out);
}

// Asks whoever was not asked yet; goes to the next stage once none is owed any more.
void ConfigCtl::go_on(Time now, Outbox& out) {
  if (finished_) return;
  if (stage_ == Stage::statuses) {
    bool waits = false;
    for (Target& t : targets_) {
      if (t.up && !std::exchange(t.asked, true)) {
        t.owed = 1;
        json question = {{"op", "config"}, {"what", "status"}};
        if (!settings_.service.empty()) question["service"] = settings_.service;
        send(t, question, out);
      }
      waits = waits || t.owed > 0 || (!t.up && t.trouble.empty());
    }
    if (waits) return;
    return ask_attached(now, out);
  }
  if (stage_ != Stage::attached) return;
  if (std::ranges::any_of(targets_, [](const Target& t) { return t.owed > 0; })) return;
  end_round(now, out);
}

void ConfigCtl::ask_attached(Time now, Outbox& out) {
  stage_ = Stage::attached;
  std::set<std::string> gone;
  for (const Target& t : targets_) {
    for (const auto& [name, ago] : t.lost) gone.insert(name);
  }
  json names = json::array();
  std::size_t bytes = 0;
  const auto ask = [&] {
    if (names.empty()) return;
    for (Target& t : targets_) {
      if (!t.up) continue;
      ++t.owed;
      send(t, {{"op", "config"}, {"what", "attached"}, {"names", names}}, out);
    }
    names = json::array();
    bytes = 0;
  };
  for (const std::string& name : gone) {
    if (names.size() >= kNamesAsked || bytes + name.size() > kNamesBytes) ask();
    names.push_back(name);
    bytes += name.size();
  }
  ask();
  go_on(now, out);
}

std::map<std::string, ConfigCtl::Sum> ConfigCtl::sums() const {
  std::map<std::string, Sum> all;
  for (const Target& t : targets_) {
    for (const auto& [service, part] : t.parts) {
      Sum& sum = all[service];
      if (part.version <= sum.version) continue;
      sum.version = part.version;
      sum.digest = part.digest;
    }
  }
  if (version_ != 0) {  // what was just published; a newer one is in its place already, if there is any
    Sum& sum = all[settings_.service];
    if (sum.version <= version_) {
      sum.version = version_;
      sum.digest = digest_;
    }
  }
  for (const Target& t : targets_) {
    for (const auto& [service, part] : t.parts) {
      Sum& sum = all[service];
      sum.subscribed += part.subscribed;
      // One that does not know the newest yet can't tell who has it.
      if (part.version != sum.version || part.digest != sum.digest) {
        sum.behind_all += part.subscribed;
        continue;
      }
      sum.in_force += part.in_force;
      sum.refused_all += part.refused_all;
      sum.behind_all += part.behind_all;
      sum.refused.insert(sum.refused.end(), part.refused.begin(), part.refused.end());
      sum.behind.insert(sum.behind.end(), part.behind.begin(), part.behind.end());
    }
  }
  return all;
}

void ConfigCtl::end_round(Time now, Outbox& out) {
  sums_ = sums();
  not_heard_of_.clear();
  for (const Target& t : targets_) not_heard_of_.insert(t.lost.begin(), t.lost.end());
  for (const std::string& name : found_) not_heard_of_.erase(name);
  judged_ = true;
  const bool all = std::ranges::all_of(sums_, [](const auto& s) { return s.second.all(); });
  if (settings_.what == ConfigCtlSettings::What::status || reached() == 0 || (all && not_heard_of_.empty()))
    return finish(out);
  stage_ = Stage::resting;
  out.arm(net::Concern::process, 1, now + kAskEvery);
}

// ---- what is said

void ConfigCtl::say(Outbox& out, std::string text, json object) const {
  out.net.push_back(net::Print{settings_.json ? line_of(object) : std::move(text), true});
}

void ConfigCtl::stop(int status, Outbox& out) {
  finished_ = true;
  out.net.push_back(net::Exit{status});
}

void ConfigCtl::finish(Outbox& out) {
  const bool published = version_ != 0;
  json object = json::object();
  std::string text;
  json silent = json::array();
  for (const Target& t : targets_) {
    if (t.up) continue;
    const std::string why = t.trouble.empty() ? "no answer" : t.trouble;
    silent.push_back({{"address", t.address}, {"trouble", why}});
    text += t.address + ": " + why + "\n";
  }
  object["distributors"] = targets_.size();
  object["not_reached"] = silent;
  if (settings_.what == ConfigCtlSettings::What::publish) {
    object["service"] = settings_.service;
    object["committed"] = published;
    if (published) {
      object["version"] = version_;
      object["digest"] = digest_;
      object["by"] = by_;
      text += settings_.service + ": version " + std::to_string(version_) + ", " + prefix_of(digest_) +
              ", committed by " + by_ + "\n";
    } else {
      text += without_vote_.empty() ? settings_.service + ": not published: no distributor could be reached\n"
                                    : without_vote_;
      say(out, text, object);
      return stop(without_vote_.empty() ? kNobody : kNotAll, out);
    }
    if (!settings_.wait) {
      say(out, text, object);
      return stop(kDone, out);
    }
  }
  if (reached() == 0) {
    say(out, text, object);
    return stop(published ? kNotAll : kNobody, out);
  }
  bool all = silent.empty() && judged_ && not_heard_of_.empty();
  json services = json::array();
  for (const auto& [service, sum] : sums_) {
    all = all && sum.all();
    json refused = json::array();
    for (const Refusal& r : sum.refused) refused.push_back({{"name", r.name}, {"reason", r.reason}});
    services.push_back({{"service", service},
                        {"version", sum.version},
                        {"digest", sum.digest},
                        {"subscribed", sum.subscribed},
                        {"in_force", sum.in_force},
                        {"refused_all", sum.refused_all},
                        {"refused", std::move(refused)},
                        {"behind_all", sum.behind_all},
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
    text += "in force at " + std::to_string(sum.in_force) + " of " + std::to_string(sum.subscribed) +
            ", refused at " + std::to_string(sum.refused_all);
    if (settings_.service.empty()) {
      text += "\n";
      continue;
    }
    text += ", not heard of " + std::to_string(not_heard_of_.size()) + "\n";
    if (sum.refused_all > 0)
      text += "refused:\n" +
              listed(sum.refused, sum.refused_all, [](const Refusal& r) { return r.name + ": " + r.reason; });
    if (sum.behind_all > 0 && !published)
      text += "behind:\n" + listed(sum.behind, sum.behind_all, [](const std::string& name) { return name; });
    if (!not_heard_of_.empty() && !published)
      text += "not heard of:\n" + listed(not_heard_of_, not_heard_of_.size(), [](const auto& lost) {
                return lost.first + ", for " + std::to_string(lost.second / 1000) + " s";
              });
  }
  if (sums_.empty()) text += "no service has a document\n";
  for (const Target& t : targets_) {
    if (t.up && !t.standing.empty() && t.standing != "voting")
      text += t.name + " " + t.address + " has no vote: " + t.standing + "\n";
  }
  json lost = json::array();
  for (const auto& [name, ago] : not_heard_of_) lost.push_back({{"name", name}, {"ago_ms", ago}});
  object["services"] = std::move(services);
  object["not_heard_of"] = std::move(lost);
  object["all"] = all;
  say(out, text, object);
  stop(all ? kDone : kNotAll, out);
}

}  // namespace graniterun::control
