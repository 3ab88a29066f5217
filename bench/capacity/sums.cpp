#include "bench/capacity/sums.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace graniterun::capacity {
namespace {

using nlohmann::json;

constexpr double kDay = 86'400.0;
constexpr const char* kNotMeasured = "not measured";

std::string percent(double share) {
  char text[32];
  std::snprintf(text, sizeof text, share >= 0.0995 ? "%.0f%%" : "%.1f%%", share * 100.0);
  return text;
}

std::string joined(const std::set<std::string>& names) {
  std::string text;
  for (const std::string& name : names) text += (text.empty() ? "" : ", ") + name;
  return text;
}

std::string to_string(LimitStatus fits) {
  return fits == LimitStatus::within ? "fits" : fits == LimitStatus::exceeded ? "**does not**" : "not known";
}

// Expected number of distinct items when `draws` are drawn at random, with replacement, out of `all`.
double distinct(double all, double draws) { return all * (1.0 - std::pow(1.0 - 1.0 / all, draws)); }

}  // namespace

// ---- figures

Figure exact(double value) { return {value, value, value, {}, {}}; }

Figure operator+(const Figure& a, const Figure& b) {
  Figure sum{a.value + b.value, a.low + b.low, a.high + b.high, a.from, a.missing};
  sum.from.insert(b.from.begin(), b.from.end());
  sum.missing.insert(b.missing.begin(), b.missing.end());
  return sum;
}

Figure operator*(const Figure& a, const Figure& b) {
  Figure product{a.value * b.value, a.low * b.low, a.high * b.high, a.from, a.missing};
  product.from.insert(b.from.begin(), b.from.end());
  product.missing.insert(b.missing.begin(), b.missing.end());
  return product;
}

std::string describe(double value) {
  const double size = std::abs(value);
  if (size < 1e-12) return "0";
  char text[64];
  const bool whole_number = std::abs(value - std::round(value)) < 1e-9 * size;
  if (size < 99.95 && !whole_number) {
    const int digits = 2 - static_cast<int>(std::floor(std::log10(size * 1.0005)));
    std::snprintf(text, sizeof text, "%.*f", std::clamp(digits, 0, 12), value);
    return text;
  }
  std::snprintf(text, sizeof text, "%.0f", value);
  std::string whole(text);
  for (auto at = static_cast<int>(whole.size()) - 3; at > (value < 0 ? 1 : 0); at -= 3)
    whole.insert(static_cast<std::size_t>(at), ",");
  return whole;
}

std::string describe(const Figure& figure) {
  if (figure.blank())
    return figure.value > 0.0 ? std::string(kNotMeasured) + " (" + describe(figure.value) + "~)"
                              : kNotMeasured;
  return (figure.known() ? "" : "at least ") + describe(figure.value);
}

// ---- checks against limits

LimitCheck check_limit(const Figure& figure, double limit, const std::string& of) {
  if (!figure.from.empty() && figure.low > limit) {
    const double times = figure.value / limit;
    return {LimitStatus::exceeded, times, "**does not**: " + describe(times) + " times the " + of};
  }
  if (figure.from.empty() || !figure.known()) return {LimitStatus::unknown, 0.0, "not known (" + of + ")"};
  if (figure.high <= limit) {
    const double times = figure.value > 0.0 ? limit / figure.value : std::numeric_limits<double>::infinity();
    return {LimitStatus::within, times,
            "fits the " + of + (std::isinf(times) ? ", costs nothing" : ", margin " + describe(times))};
  }
  return {LimitStatus::unknown, 0.0,
          "not known: " + describe(figure.low) + " to " + describe(figure.high) + " of " + describe(limit) +
              ", the " + of};
}

LimitCheck check_bound(double needed, double bound, const std::string& name) {
  if (needed > bound)
    return {LimitStatus::exceeded, needed / bound,
            "**does not**: " + describe(needed / bound) + " times the bound `" + name + "`"};
  return {LimitStatus::within, bound / needed,
          "fits the bound `" + name + "`, margin " + describe(bound / needed)};
}

LimitCheck worst(const std::vector<LimitCheck>& all) {
  LimitCheck found{LimitStatus::unknown, 0.0, "not known"};
  bool any = false;
  for (const LimitCheck& v : all) {
    const auto rank = [](const LimitCheck& one) {
      return one.status == LimitStatus::exceeded ? 0 : one.status == LimitStatus::unknown ? 1 : 2;
    };
    const bool worse = rank(v) < rank(found) ||
                       (rank(v) == rank(found) &&
                        (v.status == LimitStatus::exceeded ? v.ratio > found.ratio : v.ratio < found.ratio));
    if (!std::exchange(any, true) || worse) found = v;
  }
  return found;
}

std::string describe_checks(std::vector<LimitCheck> all) {
  const LimitCheck deciding = worst(all);
  if (deciding.status != LimitStatus::exceeded) return deciding.text;
  std::erase_if(all, [](const LimitCheck& v) { return v.status != LimitStatus::exceeded; });
  std::stable_sort(all.begin(), all.end(),
                   [](const LimitCheck& a, const LimitCheck& b) { return a.ratio > b.ratio; });
  constexpr std::string_view kNo = "**does not**: ";
  std::string text;
  for (const LimitCheck& v : all) text += text.empty() ? v.text : "; " + v.text.substr(kNo.size());
  return text;
}

// ---- given and derived values

CapacityModel::CapacityModel(Slopes slopes, const json& target)
    : slopes_(std::move(slopes)), target_(target) {
  for (const char* part : {"target", "assumptions", "bounds"}) {
    if (!target_.contains(part)) throw BadInput(std::string("the target has no '") + part + "'");
  }
  const auto derive = [this](const std::string& name, double value, const std::string& how) {
    derived_[name] = {value, how};
  };
  const double servers = given("servers");
  derive("gatekeepers", servers, "one for each setup server");
  derive("listed", servers / given("services") * given("needed"), "servers / services x services needed");
  derive("listed_large", given("large") + given("listed"), "those of one large service beside them");
  derive("listers", given("listed"),
         "gatekeepers that list a server: as many, in the mean, as servers listed");
  derive("connections_mean", given("listed") * given("at_most_connections") / 2.0,
         "to setup servers, three to each at most");
  derive("calls_each", given("calls") / servers,
         "a second at each gatekeeper, calls further down among them");
  derive("calls_each_deep", given("calls") / servers * given("depth"),
         "a second, where each goes on to the last");
  derive("subscribed", servers * given("needed") / given("services"),
         "gatekeepers of a service, in the mean");
  derive("list_changes", (given("restarts") + given("failures")) * given("told") / kDay,
         "of the list of servers, a second, in the whole fleet");
  derive("list_changes_each", given("list_changes") * given("listed") / servers,
         "of them that one gatekeeper is told");
  derive("list_changes_large", given("list_changes") * given("listed_large") / servers,
         "the same where one large service is needed");
  derive("changes_second", given("changes") / kDay, "of configuration, a second");
  derive("changes_each", given("changes_second") * given("needed") / given("services"),
         "of them that one gatekeeper needs");
  derive("clients", servers * given("sources") / given("machines"), "connections to a distributor");
  derive("clients_two_lost", servers * given("sources") / (given("machines") - 2.0),
         "the same with two of them lost");
  derive("primaries", servers / given("machines"), "gatekeepers that count themselves at one distributor");
  derive("tenth", servers / 10.0, "machines restarted in a wave");
  derive("zone", servers / given("zones"), "machines of a zone: 8 in all");
  derive("zone_small", servers / given("zones") / given("regions"), "machines of a zone: 8 in each region");
  derive("third", servers / given("regions"), "machines of a region");
  derive("behind_each", distinct(given("services"), given("behind")) * given("needed") / given("services"),
         "services of one gatekeeper that differ after the changes of an hour, some of them changed twice");
  derive("list_bytes_large", slope("discovery_list_bytes", given("listed_large")).value,
         "a whole list, as measured");
  derive("announcer_line", slope("announcer_line", servers).value,
         "the longest line of the announcer, as measured");
}

double CapacityModel::given(const std::string& name) const {
  if (const auto it = derived_.find(name); it != derived_.end()) return it->second.value;
  for (const char* part : {"target", "assumptions"}) {
    const json& all = target_.at(part);
    if (all.contains(name) && all[name].contains("value") && all[name]["value"].is_number())
      return all[name]["value"].get<double>();
  }
  throw BadInput("the target has no value for '" + name + "'");
}

Figure CapacityModel::slope(const std::string& id, double size) const {
  const auto it = slopes_.find(id);
  if (it == slopes_.end()) return {0.0, 0.0, 0.0, {}, {id}};
  if (it->second.failed > 0) return {0.0, 0.0, 0.0, {}, {id + " (a run had no end)"}};
  const Slope& s = it->second;
  const auto [value, inside] = s.at(size);
  const double uncertainty = 1.0 + s.fit.spread + (inside ? 0.0 : s.fit.error.value_or(0.0));
  return {value, value / uncertainty, value * uncertainty, {id}, {}};
}

Figure CapacityModel::slope_or(const std::vector<std::string>& ids, double size, double estimate) const {
  for (const std::string& id : ids) {
    if (Figure measured = slope(id, size); measured.known()) return measured;
  }
  return {estimate, estimate, estimate, {}, slope(ids.front(), size).missing};
}

LimitCheck CapacityModel::check_named_bound(const std::string& name) const {
  for (const json& b : target_.at("bounds")) {
    if (b.at("name") == name) return check_bound(given(b.at("needs")), b.at("value"), name);
  }
  throw BadInput("there is no bound '" + name + "'");
}

// ---- rows

std::vector<CapacityModel::Row> CapacityModel::gatekeeper_rows() const {
  const double n = given("gatekeepers");
  const auto limits = [this](Row& row) {
    row.checks.insert(row.checks.begin(), {check_limit(row.cpu, given("cpu"), "processor for control"),
                                           check_limit(row.bytes, given("bytes"), "bytes for control"),
                                           check_limit(row.state, given("memory"), "memory for control")});
  };
  std::vector<Row> rows;
  for (const bool deep : {false, true}) {
    Row r;
    const double calls = given(deep ? "calls_each_deep" : "calls_each");
    r.part = "calls, " + describe(calls) + " a second";
    r.mechanism = "`front`, `core`, `back`; not control";
    r.state = slope("calls_state", calls);
    r.messages = exact(calls * given("call_messages"));
    r.bytes = slope("calls_bytes", calls);
    r.cpu = cpu_per_call(calls) * (calls / 1000.0);
    r.checks = {check_limit(r.cpu, given("core"), "core")};
    r.family = "calls";
    r.control = false;
    rows.push_back(r);
  }
  for (const bool large : {false, true}) {
    Row r;
    const double listed = given(large ? "listed_large" : "listed");
    const double changes = given(large ? "list_changes_large" : "list_changes_each");
    r.part = "discovery, " + describe(listed) + " servers listed";
    r.mechanism = "`back/discovery`: server-sent events; `back/setup_servers` keeps connections";
    r.state = slope("servers_state", listed);
    r.messages = exact(given("comments") + changes) + slope("servers_probes", listed);
    r.bytes = slope("discovery_change_bytes", listed) * changes + exact(given("comments") * given("comment"));
    r.cpu = slope("servers_idle_cpu", listed) * 0.001 +
            slope("discovery_change_cpu", listed) * (changes / 1000.0);
    limits(r);
    r.family = "servers listed";
    r.checks.push_back(check_named_bound(large ? "a quarter of limits.sockets"
                                               : "a quarter of limits.sockets, three to each"));
    if (large) {
      r.alternative = true;
      r.checks.push_back(check_named_bound("http::kEventBound"));
    }
    rows.push_back(r);
  }
  for (const bool large : {false, true}) {
    Row r;
    const double listed = given(large ? "listed_large" : "listed");
    r.part = "the whole program, idle, " + describe(listed) + " servers listed";
    r.mechanism = "sockets and the loop with it";
    r.state = slope("listed_memory_mb", listed) * 1e6;
    r.messages = slope("servers_probes", listed);
    r.bytes =
        slope("discovery_change_bytes", listed) * given(large ? "list_changes_large" : "list_changes_each") +
        exact(given("comments") * given("comment"));
    r.cpu = slope("listed_idle_cpu_ms", listed);
    r.checks = {check_limit(r.cpu, given("cpu"), "processor for control")};
    r.family = "servers listed";
    r.alternative = true;
    rows.push_back(r);
  }
  {
    Row r;
    const double read = given("changes_each");
    r.part = "configuration, as it is";
    r.mechanism = "none: a file at each, SIGHUP to each by hand";
    r.state = exact(given("file"));
    r.messages = exact(0.0);
    r.bytes = exact(0.0);
    r.cpu = slope("config_read_cpu", given("file")) * (read / 1000.0);
    r.checks = {
        {LimitStatus::exceeded, std::numeric_limits<double>::infinity(), "**does not**: nothing carries it"}};
    r.implemented = false;
    r.family = "configuration";
    rows.push_back(r);
  }
  {
    Row r;
    r.part = "configuration, distributed";
    r.mechanism = "`distribution`: two of 16 distributors by rendezvous hashing, notice, then fetch";
    const double beats = given("sources") * 2.0 / given("beat_every");  // in and out
    const double changes = given("changes_each");
    r.state = slope_or({"gatekeeper_memory"}, n, given("needed") * given("document") * 2.0 / 1024.0) * 1024.0;
    r.messages = exact(beats + changes * (given("sources") * 3.0 + 2.0));
    r.bytes =
        slope_or({"control_bytes_hollow", "gatekeeper_bytes_quiet_simulated"}, n, beats * given("beat")) +
        slope_or({"gatekeeper_bytes_of_a_change"}, n,
                 given("sources") * given("notice") + given("document")) *
            changes;
    r.cpu =
        slope("control_cpu_hollow", n) * 0.001 + slope("gatekeeper_cpu_of_a_change", n) * (changes / 1000.0);
    r.family = "configuration, distributed";
    limits(r);
    r.checks.push_back(check_named_bound("distribution::kMaxSubscribedServices"));
    rows.push_back(r);
  }
  {
    Row r;
    r.part = "membership";
    r.mechanism = "SWIM, all to all (`membership`, `fleet`)";
    r.state = slope("membership_state", n);
    r.messages = slope("membership_datagrams", n) * 2.0;
    r.bytes = slope("membership_bytes", n) * 2.0;
    r.cpu = slope("membership_cpu", n) * 0.001;
    limits(r);
    r.checks.push_back(check_named_bound("kMaxMembers"));
    r.family = "membership";
    rows.push_back(r);
  }
  {
    Row r;
    const double changes = given("gap_changes") / kDay;
    r.part = "gaps, " + describe(given("gaps")) + " held, none called";
    r.mechanism = "one announcer, a connection to each (`control`)";
    r.state = slope("gap_state", given("gaps")) * given("gaps");
    r.messages = slope("announcer_quiet_messages", n) * 2.0;
    r.bytes = slope("announcer_quiet_bytes", n) + slope("announcer_change_bytes", n) * changes;
    r.cpu =
        slope("control_quiet_cpu", n) * 0.001 + slope("gap_change_cpu", given("gaps")) * (changes / 1000.0);
    limits(r);
    r.checks.push_back(check_named_bound("gaps.fleet_size"));
    r.family = "the announcer's fleet";
    rows.push_back(r);
  }
  {
    Row r;
    r.part = "gaps, " + describe(given("dealt")) + " called everywhere";
    r.mechanism = "demands of all told to all, slots dealt";
    r.state = exact(0.0);
    r.messages = exact(given("demands_told") * given("dealt") + given("reports"));
    r.bytes = slope("announcer_dealt_bytes", n) * given("dealt");
    r.cpu = slope("control_dealt_cpu", n) * 0.001;
    limits(r);
    r.checks.push_back(check_named_bound("control::kMaxLineBytes"));
    r.family = "slots dealt by demand";
    r.alternative = true;
    rows.push_back(r);
  }
  {
    Row r;
    const double every = given("export_every");
    const double fetched = given("fetched_every");
    r.part = "figures out";
    r.mechanism = "OTLP sums and gauges (`otlp`), `telemetry` (`management`)";
    r.state = exact(0.0);
    r.messages = exact(1.0 / every + 1.0 / fetched) * 2.0;
    r.bytes = slope("metrics_bytes", given("counters")) * (1.0 / every) +
              slope("telemetry_bytes", given("classes")) * (1.0 / fetched);
    r.cpu = slope("metrics_cpu", given("counters")) * (0.001 / every) +
            slope("telemetry_cpu", given("classes")) * (0.001 / fetched);
    limits(r);
    r.family = "figures";
    rows.push_back(r);
  }
  for (const bool deep : {false, true}) {
    Row r;
    const double calls = given(deep ? "calls_each_deep" : "calls_each");
    r.part = "traces out, " + describe(calls) + " calls a second";
    r.mechanism = "OTLP, a span a call and one an attempt, none left out; off without `otlp`";
    r.state = exact(given("spans")) * slope("trace_bytes", given("attempts"));
    r.messages = exact(calls / given("batch") * 2.0);
    r.bytes = slope("trace_bytes", given("attempts")) * calls;
    r.cpu = slope("trace_cpu", given("attempts")) * (calls / 1000.0);
    limits(r);
    r.family = "traces";
    r.alternative = true;
    rows.push_back(r);
  }
  return rows;
}

std::vector<CapacityModel::Row> CapacityModel::machine_rows() const {
  const double n = given("gatekeepers");
  std::vector<Row> rows;
  {
    Row r;
    r.part = "a setup server, as it sees gatekeepers (" + describe(given("listers")) + " of them)";
    r.mechanism = "a connection from each, three and three for news at most";
    r.state = slope("stood_server_state", given("listers"));
    r.messages =
        slope("servers_probes", given("listed")) + exact(given("calls_each") * given("call_messages"));
    r.bytes = slope("stood_server_bytes", given("listers"));
    r.cpu = slope("stood_server_cpu", given("listers"));
    r.checks = {{LimitStatus::unknown, 0.0,
                 "not known: the target sets no limit; " + describe(given("listers")) +
                     " connections at rest, " + describe(given("listers") * given("at_most_connections")) +
                     " at most"}};
    r.control = false;
    rows.push_back(r);
    r.part = "the sum of cold starts at it";
    r.mechanism = "each process its share of N + 2 x root of N + 2, told by nobody (`graniterun_cold_bench`)";
    r.state = r.messages = r.bytes = r.cpu = slope("cold_over_budget", given("listers"));
    r.checks = {{LimitStatus::unknown, 0.0, "not known at " + describe(given("listers")) + " processes"}};
    rows.push_back(r);
  }
  {
    Row r;
    r.part = "a distributor (one of " + describe(given("machines")) + ")";
    r.mechanism = "`distribution`; " + describe(given("clients")) + " connections each";
    const double share = 1.0 / given("machines");
    const double changes = given("changes_second");
    const double beats = given("clients") * 2.0 / given("beat_every");
    const double peers = given("machines") - 1.0;
    r.state = slope_or({"distributor_memory"}, n, given("services") * given("document") * 2.0 / 1048576.0) *
              1048576.0;
    r.messages = exact(beats + changes * given("subscribed") * (given("sources") * 3.0 + 2.0) * share +
                       changes * peers * share * 8.0);
    r.bytes =
        slope_or({"distributor_bytes_quiet", "distributor_bytes_quiet_simulated"}, n, beats * given("beat")) +
        slope_or({"distributor_bytes_of_a_change", "distributor_bytes_of_a_change_simulated"}, n,
                 given("subscribed") * (given("sources") * given("notice") + given("document")) * share +
                     2.0 * peers * given("document") * share) *
            changes;
    r.cpu = slope("distributor_cpu_quiet", n) * 0.001 +
            slope("distributor_cpu_of_a_change", n) * (changes / 1000.0);
    r.family = "configuration, distributed";
    r.checks = {check_limit(r.cpu, given("core"), "core"), check_named_bound("distribution::kMaxClients")};
    rows.push_back(r);
  }
  {
    Row r;
    r.part = "the announcer of gaps (one)";
    r.mechanism = "a connection to each gatekeeper, started by hand with a list of addresses";
    r.state = slope("gap_state", given("gaps")) * given("gaps");
    r.messages = slope("announcer_quiet_messages", n) * (2.0 * n);
    r.bytes = slope("announcer_quiet_bytes", n) * n;
    r.cpu = slope("announcer_quiet_cpu", n) * (n / 1000.0);
    r.checks = {check_limit(r.cpu, given("core"), "core"), check_named_bound("descriptors of a process")};
    r.family = "the announcer's fleet";
    rows.push_back(r);
    r.part = "the announcer, " + describe(given("dealt")) + " gap called everywhere";
    r.mechanism = "20 times a second all demands to all";
    r.messages = exact((given("demands_told") * given("dealt") + given("reports")) * n);
    r.bytes = slope("announcer_dealt_bytes", n) * n;
    r.cpu = slope("announcer_dealt_cpu", n) * (n / 1000.0);
    r.checks = {check_limit(r.cpu, given("core"), "core"), check_named_bound("control::kMaxLineBytes")};
    r.family = "slots dealt by demand";
    r.alternative = true;
    rows.push_back(r);
  }
  {
    Row r;
    r.part = "an owner, a voter";
    r.mechanism = "not built; `heirs` goes by the port instead";
    r.state = r.messages = r.bytes = r.cpu = slope("owner", n);
    r.checks = {{LimitStatus::unknown, 0.0, "not known: not built, and nothing above needs it"}};
    r.control = false;
    rows.push_back(r);
  }
  {
    Row r;
    r.part = "a seed of the membership (" + describe(given("seeds")) + ")";
    r.mechanism = "a member like others, asked by who starts";
    r.state = slope("membership_state", n);
    r.messages = slope("membership_datagrams", n) * 2.0;
    r.bytes = slope("membership_bytes", n) * 2.0;
    r.cpu = slope("membership_cpu", n) * 0.001;
    r.checks = {check_limit(r.cpu, given("core"), "core"), check_named_bound("kMaxMembers")};
    r.family = "membership";
    r.alternative = true;
    rows.push_back(r);
  }
  {
    Row r;
    const double notifications = given("list_changes") * given("listers");
    r.part = "the discovery service (not ours)";
    r.mechanism = "a stream to each gatekeeper, a comment a second on each";
    r.state = slope("discovery_list_bytes", n);
    r.messages = exact(n * given("comments") + notifications);
    r.bytes = slope("discovery_change_bytes", given("listed")) * notifications +
              exact(n * given("comments") * given("comment"));
    r.cpu = slope("discovery_service_cpu", n);
    r.checks = {
        {LimitStatus::unknown, 0.0, "not known: " + describe(n) + " streams; what it bears is not told"}};
    r.control = false;
    rows.push_back(r);
  }
  {
    Row r;
    r.part = "the operator's command, to all gatekeepers";
    r.mechanism = "`graniterunctl --to` with all addresses, a connection to each at once";
    r.state = slope("command_state", n);
    r.messages = exact(2.0 * n);
    r.bytes = slope("command_bytes", n);
    r.cpu = slope("command_cpu", n);
    r.checks = {check_named_bound("descriptors of a process")};
    r.family = "the operator's command";
    r.alternative = true;
    rows.push_back(r);
    r.part = "the operator's command, to distributors";
    r.mechanism = "`graniterunctl config`: 16 connections";
    r.family = "configuration, distributed";
    r.messages = exact(2.0 * given("machines"));
    r.checks = {{LimitStatus::unknown, 0.0, "not known: not measured"}};
    rows.push_back(r);
  }
  return rows;
}

std::string CapacityModel::cells(const Row& row) const {
  std::set<std::string> from;
  std::set<std::string> missing;
  for (const Figure* f : {&row.state, &row.messages, &row.bytes, &row.cpu}) {
    from.insert(f->from.begin(), f->from.end());
    missing.insert(f->missing.begin(), f->missing.end());
  }
  // A `~` marks a value that was calculated only, without a measured slope.
  const auto cell = [](const Figure& f, double unit) {
    return describe(f * unit) + (f.from.empty() && f.known() && f.value > 0.0 ? "~" : "");
  };
  std::string by;
  for (const std::string& id : from) by += (by.empty() ? "" : ", ") + ("`" + id + "`");
  return "| " + row.part + " | " + row.mechanism + " | " + cell(row.state, 0.001) + " | " +
         cell(row.messages, 1.0) + " | " + cell(row.bytes, 0.001) + " | " + cell(row.cpu, 1.0) + " | " +
         describe_checks(row.checks) + " | " + (by.empty() ? "-" : by) + " |\n";
}

CapacityModel::Row CapacityModel::total_of(const std::vector<Row>& rows, bool traces) const {
  Row sum;
  for (const Row& r : rows) {
    if (!r.control || (r.alternative && !(traces && r.family == "traces"))) continue;
    if (!r.implemented) continue;  // its planned replacement has its own row
    sum.state = sum.state + r.state;
    sum.messages = sum.messages + r.messages;
    sum.bytes = sum.bytes + r.bytes;
    sum.cpu = sum.cpu + r.cpu;
    if (traces && r.family == "traces") break;  // only the first of the two loads
  }
  return sum;
}

std::string CapacityModel::gatekeeper_total() const {
  std::string text;
  for (const bool traces : {false, true}) {
    const Row sum = total_of(gatekeeper_rows(), traces);
    const auto part = [&](const Figure& f, const char* limit, double unit, const char* name) {
      return describe(f * unit) + " of " + describe(given(limit) * unit) + " " + name + " (" +
             check_limit(f, given(limit), "budget").text + ")";
    };
    text += std::string("**All control of one gatekeeper") +
            (traces ? ", traces of all its calls with it" : ", traces left out") +
            "**: " + part(sum.cpu, "cpu", 1.0, "ms of processor a second") + "; " +
            part(sum.state, "memory", 1e-6, "MB") + "; " + part(sum.bytes, "bytes", 0.001, "KB a second") +
            ".";
    std::set<std::string> missing = sum.cpu.missing;
    missing.insert(sum.bytes.missing.begin(), sum.bytes.missing.end());
    missing.insert(sum.state.missing.begin(), sum.state.missing.end());
    text += missing.empty() ? "\n" : " Not measured: " + joined(missing) + ".\n";
    if (!traces) text += "\n";
  }
  return text;
}

std::string CapacityModel::machines_total() const {
  Figure cpu = exact(0.0);
  Figure bytes = exact(0.0);
  Figure state = exact(0.0);
  for (const Row& r : machine_rows()) {
    const bool distributor = r.part.starts_with("a distributor");
    if (!distributor && !r.part.starts_with("the announcer of gaps")) continue;
    const double times = distributor ? given("machines") : 1.0;
    cpu = cpu + r.cpu * times;
    bytes = bytes + r.bytes * times;
    state = state + r.state * times;
  }
  std::set<std::string> missing = cpu.missing;
  missing.insert(bytes.missing.begin(), bytes.missing.end());
  missing.insert(state.missing.begin(), state.missing.end());
  const double cores = given("machines") * given("core");
  return "**The " + describe(given("machines")) +
         " machines together** (distributors and one announcer, quiet): " + describe(cpu) + " of " +
         describe(cores) + " ms of processor a second, a core each (" +
         check_limit(cpu, cores, "budget").text + "); " + describe(state * 1e-6) + " MB; " +
         describe(bytes * 0.001) + " KB a second, in and out." +
         (missing.empty() ? "" : " Not measured: " + joined(missing) + ".") +
         " The announcer alone has one core, which is its own row.\n";
}

// ---- moments

std::string CapacityModel::moments_table() const {
  const double n = given("gatekeepers");
  const double machines = given("machines");
  const double notices = given("sources") * 3.0;  // notification, its receipt, report
  std::string text =
      "| moment | gatekeepers it is about | list of servers: messages out | whole lists, MB | configuration: "
      "lines at "
      "each distributor | documents at each distributor, MB | announcer: lines of gaps | time to quiet | "
      "served "
      "meanwhile |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  const auto row = [&](const std::string& name, double touched, double list_changes, double starting,
                       double lines, double documents, double left, const std::string& id,
                       const std::string& served) {
    const Figure lists = slope("discovery_list_bytes", given("listed")) * (starting * 1e-6);
    const Figure quiet = slope(id, n) * 0.001;
    text += "| " + name + " | " + describe(touched) + " | " +
            (list_changes > 0.0 ? describe(list_changes) + "~" : "0") + " | " +
            (starting > 0.0 ? describe(lists) : "0") + " | " +
            (lines > 0.0 ? describe(lines / left) + "~" : "0") + " | " +
            (documents > 0.0 ? describe(documents * given("document") * 1e-6 / left) + "~" : "0") + " | " +
            (starting > 0.0 ? describe(starting * given("gaps")) + "~" : "0") + " | " + describe(quiet) +
            (quiet.blank() ? "" : " s, `" + id + "`; " + check_limit(quiet, given("in_force"), "6 s").text) +
            " | " + served + " |\n";
  };
  const auto restart = [&](const std::string& name, double machines_gone, const std::string& id,
                           const std::string& served) {
    row(name, machines_gone, machines_gone * given("told") * given("listers"), machines_gone,
        machines_gone * given("sources") * (1.0 + 3.0), machines_gone * given("needed"), machines, id,
        served);
  };
  restart("a wave of restarts: a tenth at once", given("tenth"), "tenth_restarted_until_all_equal",
          "calls, by the servers that stay; who starts is ready after 2 s at most, by the design");
  restart("a rack", given("rack"), "moment_rack_s", "calls, by the servers that stay");
  restart("a zone, 8 in all", given("zone"), "moment_zone_s",
          "calls, by the servers that stay, if they can bear it");
  restart("a zone, 8 in each region", given("zone_small"), "moment_zone_small_s",
          "calls, by the servers that stay, if they can bear it");
  row("a region back after an hour, " + describe(given("behind")) + " changes behind", given("third"),
      given("list_changes") * 3600.0 * given("listers") / given("regions"), 0.0,
      given("third") * given("sources") * (1.0 + notices), given("third") * given("behind_each"), machines,
      "heal_to_quiet", "calls, with the last good configuration, on both sides");
  row("all control machines restarted", n, 0.0, 0.0, n * given("sources") * 2.0, 0.0, machines,
      "all_distributors_restarted_last",
      "calls, with what is in force; no change until a majority has its files");
  row("two control machines lost (the time: one of them)", n * given("sources") * 2.0 / machines, 0.0, 0.0,
      n * given("sources") * 2.0 / machines * 2.0, 0.0, machines - 2.0, "distributor_killed_last",
      "all; a lost announcer: slots in turn, none dealt");
  row("a change of a mean service", given("subscribed"), 0.0, 0.0, given("subscribed") * notices,
      given("subscribed"), machines,
      slopes_.contains("change_of_a_small_service_last") ? "change_of_a_small_service_last"
                                                         : "change_last_simulated",
      "all");
  row("a change that all need", given("large_subscribed"), 0.0, 0.0, given("large_subscribed") * notices,
      given("large_subscribed"), machines, "change_for_all_last", "all");
  row("ten changes in a second, mean services", given("subscribed") * 10.0, 0.0, 0.0,
      given("subscribed") * 10.0 * notices, given("subscribed") * 10.0, machines, "moment_ten_s", "all");
  row("ten changes in a second, services that all need", given("large_subscribed"), 0.0, 0.0,
      given("large_subscribed") * 10.0 * notices, given("large_subscribed") * 10.0, machines,
      "ten_in_a_second_last", "all");
  row("a bad change that all refuse", given("subscribed"), 0.0, 0.0, given("subscribed") * notices,
      given("subscribed"), machines, "refused_by_all_told", "all, with the last good one; told upward");
  return text;
}

// ---- readings

std::string CapacityModel::readings_table() const {
  std::string text =
      "| calls at each gatekeeper | processor a call, us | share of a core | added, 99th percentile, us: one "
      "gatekeeper "
      "| a line of 9 | one against 0.57 ms | 9 against 0.57 ms |\n| --- | --- | --- | --- | --- | --- | --- "
      "|\n";
  for (const bool deep : {false, true}) {
    const double calls = given(deep ? "calls_each_deep" : "calls_each");
    const std::string id = "added_p99_us_at_" + std::to_string(static_cast<int>(std::lround(calls)));
    const Figure one = slope(id, 1.0);
    const Figure line = slope(id, given("depth"));
    const Figure cpu = cpu_per_call(calls);
    text += "| " + describe(calls) +
            (deep ? ": 2.6 million without the calls further down, each " + describe(given("depth")) + " deep"
                  : ": calls further down are among the 2.6 million") +
            " | " + describe(cpu) + " | " + (cpu.blank() ? kNotMeasured : percent(cpu.value * calls / 1e6)) +
            " | " + describe(one) + " | " + describe(line) + " | " +
            check_limit(one, given("added"), "added time").text + " | " +
            check_limit(line, given("added"), "added time").text + " |\n";
  }
  text +=
      "\n| the last server of one call | attempts that reach it: 1 gatekeeper | 3 | 9 |\n| --- | --- | --- | "
      "--- |\n";
  for (const auto& [kind, what] : {std::pair("500", "answers 500"), std::pair("503", "answers 503"),
                                   std::pair("silent", "says nothing")}) {
    text += std::string("| ") + what;
    for (const double depth : {1.0, 3.0, 9.0})
      text += " | " + describe(slope(std::string("attempts_at_last_server_") + kind, depth));
    text += " |\n";
  }
  return text;
}

Figure CapacityModel::cpu_per_call(double calls) const {
  const Figure paired =
      slope("cpu_per_call_us_at_" + std::to_string(static_cast<int>(std::lround(calls))), 1.0);
  return paired.known() ? paired : slope("cpu_per_call", calls);
}

// Says up to which measured size the membership settled, and what it cost where it did not.
std::string CapacityModel::membership_note() const {
  const auto it = slopes_.find("membership_bytes");
  const auto not_settled = slopes_.find("membership_unsettled_bytes");
  std::string text = "**Membership**: ";
  if (it == slopes_.end()) {
    text += "not measured";
  } else {
    text += "settled at up to " + describe(it->second.fit.largest) + " members (" +
            describe(median(it->second.points.back().runs) * 0.002) +
            " KB a second in and out there); what lies beyond follows the law";
  }
  if (not_settled != slopes_.end()) {
    const double size = not_settled->second.points.front().size;
    text += ". **At " + describe(size) + " members it did not settle** and sent " +
            describe(median(not_settled->second.points.front().runs) * 0.001) +
            " KB a second each: no slope is drawn through that, and the row's figures at the target are what "
            "a membership "
            "that settles would cost";
  }
  return text + ".\n";
}

// ---- the rest

std::string CapacityModel::bounds_table() const {
  std::string text =
      "| bound | value | where | needed at the target | verdict | beyond it |\n| --- | --- | --- | --- | --- "
      "| --- |\n";
  for (const json& b : target_.at("bounds")) {
    const double needed = given(b.at("needs"));
    const double value = b.at("value");
    const std::string name = b.at("name");
    const LimitCheck v = check_bound(needed, value, name);
    text += "| `" + name + "` | " + describe(value) + " | `" + b.at("where").get<std::string>() + "` | " +
            (needed > 0.0 ? describe(needed) : kNotMeasured) + " | " +
            (needed <= 0.0 ? "not known"
                           : to_string(v.status) + ", " + describe(v.ratio) +
                                 (v.status == LimitStatus::within ? " times room" : " times too small")) +
            " | " + b.at("beyond").get<std::string>() + " |\n";
  }
  return text;
}

std::string CapacityModel::shortfall_table() const {
  struct Shortfall {
    std::string family{};
    std::string part{};
    LimitCheck check{};
    bool implemented{};
    std::size_t rows = 1;
  };
  std::vector<Shortfall> all;
  std::size_t no = 0;
  std::size_t unknown = 0;
  std::size_t rows = 0;
  for (const std::vector<Row>& table : {gatekeeper_rows(), machine_rows()}) {
    for (const Row& r : table) {
      ++rows;
      const LimitCheck v = worst(r.checks);
      unknown += v.status == LimitStatus::unknown ? 1 : 0;
      if (v.status != LimitStatus::exceeded) continue;
      ++no;
      // A family is listed once, with its worst row.
      const auto same =
          std::find_if(all.begin(), all.end(), [&](const Shortfall& s) { return s.family == r.family; });
      if (same == all.end()) {
        all.push_back({r.family, r.part, v, r.implemented});
      } else {
        ++same->rows;
        if (v.ratio > same->check.ratio) {
          same->part = r.part;
          same->check = v;
        }
      }
    }
  }
  // Unimplemented parts first, then by the ratio to the limit, largest first.
  std::stable_sort(all.begin(), all.end(), [](const Shortfall& a, const Shortfall& b) {
    return a.implemented != b.implemented ? !a.implemented : a.check.ratio > b.check.ratio;
  });
  std::string text =
      "| | what | by how much, at its worst | that row | rows |\n| --- | --- | --- | --- | --- |\n";
  std::size_t rank = 0;
  for (const Shortfall& s : all)
    text += "| " + std::to_string(++rank) + " | " + s.family + " | " + s.check.text + " | " + s.part + " | " +
            std::to_string(s.rows) + " |\n";
  return text + "\nOf " + std::to_string(rows) + " rows " + std::to_string(no) + " do not fit and " +
         std::to_string(unknown) + " are not known.\n";
}

std::string CapacityModel::slopes_table() const {
  std::string text =
      "| figure | unit | grows with | measured at | at the largest | law | error, largest held out | spread "
      "of runs | "
      "runs | command | revision |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const auto& [id, s] : slopes_) {
    std::string sizes;
    std::size_t runs = s.points.front().runs.size();
    for (const Point& p : s.points) {
      sizes += (sizes.empty() ? "" : ", ") + describe(p.size);
      runs = std::min(runs, p.runs.size());
    }
    text += "| `" + id + "` | " + s.unit + " | " + s.per + " | " + sizes + " | " +
            describe(median(s.points.back().runs)) + " | " + std::string(to_string(s.fit.law)) + ": " +
            describe(s.fit.base) +
            (s.fit.law == Law::constant
                 ? ""
                 : " + " + describe(s.fit.slope) + (s.fit.law == Law::n ? " n" : " ln n")) +
            " | " + (s.fit.error ? percent(*s.fit.error) : "one size") + " | " + percent(s.fit.spread) +
            " | " + std::to_string(runs) + " | `" + s.command + "` | " + s.revision + " |\n";
  }
  if (slopes_.empty()) text += "| none | | | | | | | | | | |\n";
  return text;
}

std::string CapacityModel::given_table(const char* part) const {
  std::string text = "| name | value | what it is |\n| --- | --- | --- |\n";
  for (const auto& [name, one] : target_.at(part).items()) {
    const std::string word = one.at("word");
    text += "| `" + name + "` | " + describe(one.at("value").get<double>()) + " " +
            one.at("unit").get<std::string>() + " | " + word + " |\n";
  }
  return text;
}

std::string CapacityModel::derived_table() const {
  std::string text = "| name | value | how |\n| --- | --- | --- |\n";
  for (const auto& [name, one] : derived_)
    text += "| `" + name + "` | " + (one.value > 0.0 ? describe(one.value) : kNotMeasured) + " | " + one.how +
            " |\n";
  return text;
}

Tables CapacityModel::tables() const {
  constexpr const char* kHead =
      "| part | what carries it | state, KB | messages a second, in and out | KB a second, in and out | "
      "processor, ms a "
      "second | verdict | from |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";
  Tables all;
  std::string gatekeepers = kHead;
  for (const Row& r : gatekeeper_rows()) gatekeepers += cells(r);
  std::string others = kHead;
  for (const Row& r : machine_rows()) others += cells(r);
  all["gatekeeper"] = gatekeepers;
  all["machines"] = others;
  all["sum-gatekeeper"] = gatekeeper_total();
  all["sum-machines"] = machines_total();
  all["moments"] = moments_table();
  all["readings"] = readings_table();
  all["bounds"] = bounds_table();
  all["missing"] = shortfall_table();
  all["membership-note"] = membership_note();
  all["slopes"] = slopes_table();
  all["target"] = given_table("target");
  all["assumptions"] = given_table("assumptions");
  all["worked-out"] = derived_table();
  return all;
}

}  // namespace graniterun::capacity
