#include "wire.h"

#include <algorithm>
#include <utility>

namespace graniterun::wire {
namespace {

// Calls `part` with each piece of `text` between separators.
template <class Function>
void split(std::string_view text, char separator, Function part) {
  while (true) {
    const std::size_t end = text.find(separator);
    part(text.substr(0, end));
    if (end == std::string_view::npos) return;
    text.remove_prefix(end + 1);
  }
}

int hex_digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return -1;
}

constexpr std::pair<std::string_view, bool> kTruth[] = {{"true", true}, {"false", false}};

constexpr std::pair<std::string_view, Outcome> kOutcomes[] = {
    {"GOOD", Outcome::ok},        {"BAD", Outcome::busy_or_fault},    {"FULL", Outcome::full},
    {"LATE", Outcome::timed_out}, {"NOCONN", Outcome::no_connection}, {"RST", Outcome::reset},
    {"CXL", Outcome::cancelled},  {"NOP", Outcome::not_sent},
};

// Writes the actions of one instance as lines of the reply.
class ActionWriter {
 public:
  ActionWriter(std::string& reply, int instance, const std::vector<std::string>& addresses)
      : reply_(reply), instance_(instance), addresses_(addresses) {}

  void operator()(const SendSetup& a) const {
    begin("DELIVER");
    call(a.call);
    field("server", addresses_[static_cast<std::uint32_t>(a.server)]);
    field("cutAtNs", a.deadline.time_since_epoch().count());
    end();
  }
  void operator()(const CancelAttempt& a) const {
    begin("REVOKE");
    call(a.call);
    field("try", a.attempt);
    end();
  }
  void operator()(const Reject& a) const {
    begin("SHED");
    call(a.call);
    field("coolDownNs", a.retry_after.count());
    end();
  }
  void operator()(const Fail& a) const {
    begin("GIVE_UP");
    call(a.call);
    end();
  }
  void operator()(const SetTimer& a) const {
    begin("DEFER");
    field("spanNs", a.delay.count());
    field("cookie", static_cast<std::uint64_t>(a.timer));
    end();
  }
  void operator()(const NotifyPeers& a) const {
    std::string hex;
    for (const std::uint8_t byte : a.bytes) append_hex(hex, byte, 2);
    begin("POST");
    field("dst", -1);
    field("contents", hex.empty() ? "-" : hex);
    end();
  }
  void operator()(const FollowList&) const {
    begin("FOLLOW");
    field("enable", 1);
    end();
  }

 private:
  static void append_hex(std::string& to, std::uint64_t value, int digits) {
    for (int shift = 4 * (digits - 1); shift >= 0; shift -= 4) to += "0123456789abcdef"[value >> shift & 15];
  }
  void begin(std::string_view name) const {
    reply_ += name;
    field("i", instance_);
  }
  void call(CallId id) const {
    reply_ += "\tcorr=";
    append_hex(reply_, static_cast<std::uint64_t>(id), 16);
  }
  void field(std::string_view name, std::string_view value) const {
    reply_.append("\t").append(name).append("=").append(value);
  }
  template <class Number>
  requires std::is_arithmetic_v<Number>
  void field(std::string_view name, Number value) const {
    field(name, std::string_view(std::to_string(value)));
  }
  void end() const { reply_ += '\n'; }

  std::string& reply_;
  int instance_;
  const std::vector<std::string>& addresses_;
};

}  // namespace

MalformedInput::MalformedInput(std::size_t line_number, std::string_view field, std::string_view trouble)
    : std::runtime_error("line " + std::to_string(line_number) + ": " + std::string(field) + " " +
                         std::string(trouble)) {}

// ---- Message

Message::Message(std::string_view line, std::size_t line_number) : line_number_(line_number) {
  bool first = true;
  split(line, '\t', [&](std::string_view part) {
    if (std::exchange(first, false)) {
      name_ = part;
      return;
    }
    const std::size_t equals = part.find('=');
    if (equals == std::string_view::npos || equals == 0) fail(part, "is not of the form name=value");
    fields_.emplace_back(part.substr(0, equals), part.substr(equals + 1));
  });
}

void Message::fail(std::string_view field, std::string_view trouble) const {
  throw MalformedInput(line_number_, field, trouble);
}

std::optional<std::string_view> Message::find(std::string_view field) const {
  for (const auto& [name, value] : fields_) {
    if (name == field) return value;
  }
  return std::nullopt;
}

std::string_view Message::text(std::string_view field) const {
  const auto value = find(field);
  if (!value) fail(field, "is missing");
  return *value;
}

Duration Message::duration(std::string_view field) const { return Duration(number<Duration::rep>(field)); }

Time Message::time(std::string_view field) const { return Time(duration(field)); }

bool Message::flag(std::string_view field) const {
  const std::string_view value = text(field);
  if (value != "0" && value != "1") fail(field, "is not 0 or 1");
  return value == "1";
}

bool Message::find_flag(std::string_view field) const { return find(field) && flag(field); }

CallId Message::call(std::string_view field) const {
  const std::string_view value = text(field);
  std::uint64_t id = 0;
  if (value.size() != 16) fail(field, "is not 16 hex digits");
  for (const char c : value) {
    if (hex_digit(c) < 0) fail(field, "is not 16 hex digits");
    id = id << 4 | static_cast<std::uint64_t>(hex_digit(c));
  }
  return CallId{id};
}

std::vector<std::uint8_t> Message::bytes(std::string_view field) const {
  const std::string_view value = text(field);
  std::vector<std::uint8_t> result;
  if (value == "-") return result;
  if (value.size() % 2 != 0) fail(field, "is not pairs of hex digits");
  for (std::size_t i = 0; i < value.size(); i += 2) {
    const int high = hex_digit(value[i]);
    const int low = hex_digit(value[i + 1]);
    if (high < 0 || low < 0) fail(field, "is not pairs of hex digits");
    result.push_back(static_cast<std::uint8_t>(high << 4 | low));
  }
  return result;
}

// ---- Settings and reports

Settings parse_settings(const Message& m) {
  const auto numbers = [&m](std::string_view field) {
    std::vector<std::int64_t> result;
    const std::string_view value = m.text(field);
    if (value.empty()) return result;
    split(value, ',',
          [&](std::string_view part) { result.push_back(m.parse_number<std::int64_t>(field, part)); });
    return result;
  };

  Settings s;
  s.layout = m.one_of<Layout>("familyInfo.layout", {{"meshed", Layout::meshed}, {"groups", Layout::groups}});
  s.discovery = m.one_of<Discovery>("membershipMode",
                                    {{"pushed", Discovery::pushed}, {"on_request", Discovery::on_request}});
  s.processor_reports =
      m.one_of<ProcessorReports>("familyInfo.peerLoad", {{"none", ProcessorReports::none},
                                                         {"probe", ProcessorReports::probe},
                                                         {"answers", ProcessorReports::answers}});
  s.full_server_sends_retry_after = m.one_of("familyInfo.tellsWait", kTruth);
  s.zone = Zone{m.number<std::uint32_t>("az")};
  s.own_index = m.number<std::uint32_t>("me");
  s.senders = m.number<std::uint32_t>("replicasOfMe");
  s.max_attempts = m.number<int>("limits.maxAttempts");
  s.may_cancel = m.one_of("limits.cancel", kTruth);
  s.may_notify_peers = m.one_of("limits.peers", kTruth);
  s.callers_honor_retry_after = m.one_of("limits.retryAfter", kTruth);
  s.max_retry_after = m.duration("limits.maxRetryAfterNs");
  s.callers_flag_redial = m.one_of("clients.marksRetry", kTruth);
  s.retransmit_delay = m.duration("familyInfo.resendNs");
  s.scheduling_interval = m.duration("roundNs");
  if (m.find("limits.connectTimeoutNs")) s.connect_timeout = m.duration("limits.connectTimeoutNs");
  s.release_guard = m.duration("familyInfo.releaseGuardNs");
  s.drain_grace = m.duration("guarantees.stopSendingWithinNs");
  s.answer_slack = m.duration("guarantees.answerSlackNs");
  s.poll_interval = m.duration("guarantees.askEveryNs");
  s.slow_start_fraction = m.number<double>("guarantees.coldFrom");
  s.slow_start_duration = m.duration("guarantees.coldNs");
  s.overload_multiple = m.number<double>("guarantees.fallMultiple");
  s.overload_window = m.duration("guarantees.tipAfterNs");
  s.worst_class_weight = m.number<double>("objectiveMix.worstClass");
  s.late_fail_price = m.number<double>("prices.lateFail");
  s.waste_price = m.number<double>("prices.waste");
  s.peer_price = m.number<double>("prices.peer");

  const auto holds = numbers("familyInfo.classHoldNs");
  const auto count = m.number<std::size_t>("classes.count");
  if (holds.size() != count) m.fail("familyInfo.classHoldNs", "does not name a time for each class");
  for (std::size_t i = 0; i < count; ++i) {
    const std::string path = "classes." + std::to_string(i) + ".";
    CallClass c;
    c.latency_objective = m.duration(path + "promiseNs");
    c.caller_timeout = m.duration(path + "hardLimitNs");
    c.priority_weight = m.number<double>(path + "worth");
    c.late_weight_fraction = m.number<double>(path + "lateWorth");
    c.mean_holding_time = Duration(holds[i]);
    c.idempotency = m.one_of<Idempotency>(path + "effect", {{"idempotent", Idempotency::idempotent},
                                                            {"deduplicated", Idempotency::keyed},
                                                            {"at_most_once", Idempotency::non_idempotent}});
    c.deduplication_scope =
        m.one_of<DeduplicationScope>(path + "group", {{"all", DeduplicationScope::all},
                                                      {"zone", DeduplicationScope::zone},
                                                      {"cell", DeduplicationScope::cell}});
    c.deduplication_window = m.duration(path + "dedupWindowNs");
    if (const std::string pools = "familyInfo.poolsByClass." + std::to_string(i); m.find(pools)) {
      c.open_pools.emplace();
      for (const std::int64_t pool : numbers(pools)) c.open_pools->push_back(Pool{pool});
    }
    s.classes.push_back(std::move(c));
  }
  return s;
}

LoadReport parse_report(const Message& m, std::string_view field) {
  LoadReport report;
  const auto value = m.find(field);
  if (!value || value->empty()) return report;
  split(*value, ',', [&](std::string_view pair) {
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos) m.fail(field, "is not name:value pairs");
    note_value(report, pair.substr(0, colon), m.parse_number<double>(field, pair.substr(colon + 1)));
  });
  return report;
}

void note_value(LoadReport& report, std::string_view name, double figure) {
  if (!(figure >= 0)) return;
  if (name == "spare" || name == "x0") report.free_circuits = figure;
  if (name == "total" || name == "x1") report.circuits = figure;
  if (name == "active" || name == "inflight") report.messages_active = figure;
  if (name == "waiting" || name == "queue") report.messages_waiting = figure;
  if (name == "cpu" || name == "util") report.busy_share = figure;
  if ((name == "avg_ms" || name == "latency_ms") && figure < 1e9) {
    report.wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(figure));
  }
  if (name == "allowed" || name == "qps") report.allowed_per_s = figure;
  if (name == "cut_by" || name == "eps") report.shed_fraction = figure;
}

// ---- Host

ServerId Host::Instance::id_of(std::string_view address) {
  if (const auto known = ids_.find(address); known != ids_.end()) return known->second;
  const ServerId id{static_cast<std::uint32_t>(addresses.size())};
  addresses.emplace_back(address);
  ids_.emplace(address, id);
  return id;
}

void Host::take(std::string_view line) {
  ++line_number_;
  const Message message(line, line_number_);
  if (open_list_ != nullptr) return take_entry(message);
  if (!now_) {
    if (line.empty()) return;
    if (message.name() != "CLOCK") message.fail(message.name(), "stands outside a batch");
    now_ = message.time("nowNs");
  } else if (message.name() == "COMMIT") {
    now_.reset();
    reply_ += "END\n";
    out_ << reply_ << std::flush;
    reply_.clear();
  } else {
    event(message);
  }
}

void Host::end() {
  if (now_) throw MalformedInput(line_number_ + 1, "COMMIT", "is missing at the end of input");
}

void Host::take_entry(const Message& m) {
  if (m.name() != "M") m.fail(m.name(), "stands where an M line is due");
  Entry entry;
  entry.server = m.text("server");
  entry.entry.zone = Zone{m.number<std::uint32_t>("az")};
  entry.entry.pool = Pool{m.number<std::int64_t>("placeNo")};
  entry.entry.state = m.one_of<ServerState>("state", {{"in_service", ServerState::in_service},
                                                      {"terminating", ServerState::terminating},
                                                      {"terminated", ServerState::terminated}});
  entry.entry.weight = m.number<double>("weight");
  if (const auto since = m.find_number<Duration::rep>("onlineSinceNs"); since.value_or(0) != 0) {
    entry.entry.online_since = Time(Duration(*since));
  }
  open_list_->push_back(std::move(entry));
  if (--entries_to_come_ == 0) open_list_ = nullptr;
}

Host::Instance& Host::instance(const Message& m) {
  const auto it = instances_.find(m.number<int>("i"));
  if (it == instances_.end()) m.fail("i", "names an instance that was not started");
  return it->second;
}

void Host::hand_over(const Message& m, const Event& event) {
  Instance& to = instance(m);
  actions_.clear();
  to.controller.handle(*now_, event, actions_);
  const ActionWriter writer(reply_, m.number<int>("i"), to.addresses);
  for (const Action& action : actions_) std::visit(writer, action);
}

void Host::start(const Message& m) {
  const int number = m.number<int>("i");
  instances_.erase(number);
  instances_.emplace(std::piecewise_construct, std::forward_as_tuple(number),
                     std::forward_as_tuple(parse_settings(m), m.number<std::uint64_t>("nonce64")));
}

void Host::event(const Message& m) {
  const std::string_view name = m.name();
  if (name == "QUERY") {
    NewCall e;
    e.call = m.call("corr");
    e.call_class = m.number<ClassIndex>("category");
    if (e.call_class >= instance(m).classes)
      m.fail("category", "names a class that the settings do not hold");
    e.number = Number{m.number<std::uint64_t>("entity")};
    e.destination = Pool{m.find_number<std::int64_t>("dest").value_or(-1)};
    e.deadline = m.time("deadlineNs");
    e.circuits = m.find_number<double>("circuits").value_or(1);
    e.in_transit = m.find_flag("transit");
    e.cut_before = m.find_flag("reconnect");
    e.redial = m.find_flag("retry");
    hand_over(m, e);
  } else if (name == "VERDICT") {
    AttemptEnded e;
    e.call = m.call("corr");
    e.attempt = m.number<int>("try");
    e.server = instance(m).id_of(m.text("server"));
    e.outcome = m.one_of("ending", kOutcomes);
    e.delay = m.duration("elapsedNs");
    e.call_finished = m.find_flag("doneFlag");
    const int why = m.find_number<int>("why").value_or(0);
    constexpr int kReasons = 16;  // above it, the wait in milliseconds
    if (why < 0) m.fail("why", "is below 0");
    if (why == 18) {
      e.reason = FullReason::returned;
    } else {
      constexpr FullReason kMeaning[] = {FullReason::none, FullReason::no_circuit, FullReason::returned,
                                         FullReason::processor, FullReason::number_busy};
      if (const int reason = why % kReasons; reason <= 4) e.reason = kMeaning[reason];
      if (why >= kReasons) e.retry_after = std::chrono::milliseconds(why / kReasons);
    }
    e.report = parse_report(m, "feedback");
    hand_over(m, e);
  } else if (name == "FIRST_BYTE") {
    hand_over(m, CallEstablished{m.call("corr"), m.number<int>("try"), instance(m).id_of(m.text("server")),
                                 m.duration("elapsedNs")});
  } else if (name == "TIMER") {
    hand_over(m, TimerDue{TimerId{m.number<std::uint64_t>("cookie")}});
  } else if (name == "LEFT") {
    hand_over(m, CallerDisconnected{m.call("corr")});
  } else if (name == "PROBE_RESULT") {
    hand_over(m, ServerReport{instance(m).id_of(m.text("server")), parse_report(m, "feedback")});
  } else if (name == "PEER_DATA") {
    hand_over(m, PeerMessage{m.number<std::uint32_t>("srcPeer"), m.bytes("contents")});
  } else if (name == "BACKENDS_CHANGED") {
    ServerList e;
    e.kind = m.one_of<ListKind>("kind", {{"changes", ListKind::changes},
                                         {"all", ListKind::all},
                                         {"remembered", ListKind::cached},
                                         {"refused", ListKind::rejected}});
    if (e.kind != ListKind::rejected) {
      const auto list = lists_.find(m.number<int>("setId"));
      if (list == lists_.end()) m.fail("setId", "names a list that was not sent");
      for (const Entry& entry : list->second) {
        e.entries.push_back(entry.entry);
        e.entries.back().server = instance(m).id_of(entry.server);
      }
    }
    hand_over(m, e);
  } else if (name == "REGISTER") {
    std::vector<Entry>& list = lists_[m.number<int>("setId")];
    list.clear();
    entries_to_come_ = m.number<std::size_t>("records");
    open_list_ = entries_to_come_ > 0 ? &list : nullptr;
  } else if (name == "ENLIST") {
    start(m);
  } else if (name == "TEARDOWN") {
    instances_.erase(m.number<int>("i"));
  }
}

}  // namespace graniterun::wire
