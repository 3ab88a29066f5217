// Parsing of the simulator's messages, and the writing of actions. The message and field names are explained
// by the event, action or setting that each is mapped to (graniterun/controller.h).
#include "wire.h"

#include <algorithm>
#include <utility>

namespace graniterun::wire {
namespace {

// Calls `part` with each part of `text` between separators.
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

constexpr std::pair<std::string_view, bool> kBooleans[] = {{"true", true}, {"false", false}};

constexpr std::pair<std::string_view, Outcome> kOutcomes[] = {
    {"GOOD", Outcome::ok},        {"BAD", Outcome::busy_or_fault},    {"FULL", Outcome::full},
    {"LATE", Outcome::timed_out}, {"NOCONN", Outcome::no_connection}, {"RST", Outcome::reset},
    {"CXL", Outcome::cancelled},  {"NOP", Outcome::not_sent},
};

// Appends the actions of one instance to the reply, one line per action.
class ActionWriter {
 public:
  ActionWriter(std::string& reply, int instance, const std::vector<std::string>& addresses)
      : reply_(reply), instance_(instance), addresses_(addresses) {}

  void operator()(const SendSetup& action) const {
    begin("DELIVER");
    call(action.call);
    field("server", addresses_[static_cast<std::uint32_t>(action.server)]);
    field("cutAtNs", action.deadline.time_since_epoch().count());
    end();
  }
  void operator()(const CancelAttempt& action) const {
    begin("REVOKE");
    call(action.call);
    field("try", action.attempt);
    end();
  }
  void operator()(const Reject& action) const {
    begin("SHED");
    call(action.call);
    field("coolDownNs", action.retry_after.count());
    end();
  }
  void operator()(const Fail& action) const {
    begin("GIVE_UP");
    call(action.call);
    end();
  }
  void operator()(const SetTimer& action) const {
    begin("DEFER");
    field("spanNs", action.delay.count());
    field("cookie", static_cast<std::uint64_t>(action.timer));
    end();
  }
  void operator()(const NotifyPeers& action) const {
    std::string hex;
    for (const std::uint8_t byte : action.bytes) append_hex(hex, byte, 2);
    begin("POST");
    field("dst", -1);
    field("contents", hex.empty() ? "-" : hex);
    end();
  }
  void operator()(const RequestServerList&) const {
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

MalformedInput::MalformedInput(std::size_t line_number, std::string_view field, std::string_view problem)
    : std::runtime_error("line " + std::to_string(line_number) + ": " + std::string(field) + " " +
                         std::string(problem)) {}

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

void Message::fail(std::string_view field, std::string_view problem) const {
  throw MalformedInput(line_number_, field, problem);
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

Settings parse_settings(const Message& message) {
  const auto numbers = [&message](std::string_view field) {
    std::vector<std::int64_t> result;
    const std::string_view value = message.text(field);
    if (value.empty()) return result;
    split(value, ',',
          [&](std::string_view part) { result.push_back(message.parse_number<std::int64_t>(field, part)); });
    return result;
  };

  Settings settings;
  settings.layout =
      message.one_of<Layout>("familyInfo.layout", {{"meshed", Layout::meshed}, {"groups", Layout::groups}});
  settings.discovery = message.one_of<Discovery>(
      "membershipMode", {{"pushed", Discovery::pushed}, {"on_request", Discovery::on_request}});
  settings.processor_reports =
      message.one_of<ProcessorReports>("familyInfo.peerLoad", {{"none", ProcessorReports::none},
                                                               {"probe", ProcessorReports::probe},
                                                               {"answers", ProcessorReports::answers}});
  settings.full_server_sends_retry_after = message.one_of("familyInfo.tellsWait", kBooleans);
  settings.zone = Zone{message.number<std::uint32_t>("az")};
  settings.own_index = message.number<std::uint32_t>("me");
  settings.senders = message.number<std::uint32_t>("replicasOfMe");
  settings.max_attempts = message.number<int>("limits.maxAttempts");
  settings.may_cancel = message.one_of("limits.cancel", kBooleans);
  settings.may_notify_peers = message.one_of("limits.peers", kBooleans);
  settings.callers_honor_retry_after = message.one_of("limits.retryAfter", kBooleans);
  settings.max_retry_after = message.duration("limits.maxRetryAfterNs");
  settings.callers_flag_redial = message.one_of("clients.marksRetry", kBooleans);
  settings.retransmit_delay = message.duration("familyInfo.resendNs");
  settings.scheduling_interval = message.duration("roundNs");
  if (message.find("limits.connectTimeoutNs"))
    settings.connect_timeout = message.duration("limits.connectTimeoutNs");
  settings.release_guard = message.duration("familyInfo.releaseGuardNs");
  settings.drain_grace = message.duration("guarantees.stopSendingWithinNs");
  settings.answer_slack = message.duration("guarantees.answerSlackNs");
  settings.poll_interval = message.duration("guarantees.askEveryNs");
  settings.slow_start_fraction = message.number<double>("guarantees.coldFrom");
  settings.slow_start_duration = message.duration("guarantees.coldNs");
  settings.overload_multiple = message.number<double>("guarantees.fallMultiple");
  settings.overload_window = message.duration("guarantees.tipAfterNs");
  settings.worst_class_weight = message.number<double>("objectiveMix.worstClass");
  settings.late_fail_price = message.number<double>("prices.lateFail");
  settings.waste_price = message.number<double>("prices.waste");
  settings.peer_price = message.number<double>("prices.peer");

  const auto holding_times = numbers("familyInfo.classHoldNs");
  const auto count = message.number<std::size_t>("classes.count");
  if (holding_times.size() != count)
    message.fail("familyInfo.classHoldNs", "does not name a time for each class");
  for (std::size_t i = 0; i < count; ++i) {
    const std::string path = "classes." + std::to_string(i) + ".";
    CallClass call_class;
    call_class.latency_objective = message.duration(path + "promiseNs");
    call_class.caller_timeout = message.duration(path + "hardLimitNs");
    call_class.priority_weight = message.number<double>(path + "worth");
    call_class.late_weight_fraction = message.number<double>(path + "lateWorth");
    call_class.mean_holding_time = Duration(holding_times[i]);
    call_class.idempotency =
        message.one_of<Idempotency>(path + "effect", {{"idempotent", Idempotency::idempotent},
                                                      {"deduplicated", Idempotency::keyed},
                                                      {"at_most_once", Idempotency::non_idempotent}});
    call_class.deduplication_scope =
        message.one_of<DeduplicationScope>(path + "group", {{"all", DeduplicationScope::all},
                                                            {"zone", DeduplicationScope::zone},
                                                            {"cell", DeduplicationScope::cell}});
    call_class.deduplication_window = message.duration(path + "dedupWindowNs");
    if (const std::string pools = "familyInfo.poolsByClass." + std::to_string(i); message.find(pools)) {
      call_class.open_pools.emplace();
      for (const std::int64_t pool : numbers(pools)) call_class.open_pools->push_back(Pool{pool});
    }
    settings.classes.push_back(std::move(call_class));
  }
  return settings;
}

LoadReport parse_report(const Message& message, std::string_view field) {
  LoadReport report;
  const auto value = message.find(field);
  if (!value || value->empty()) return report;
  split(*value, ',', [&](std::string_view pair) {
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos) message.fail(field, "is not name:value pairs");
    set_report_value(report, pair.substr(0, colon),
                     message.parse_number<double>(field, pair.substr(colon + 1)));
  });
  return report;
}

void set_report_value(LoadReport& report, std::string_view name, double value) {
  if (!(value >= 0)) return;
  if (name == "spare" || name == "x0") report.free_circuits = value;
  if (name == "total" || name == "x1") report.circuits = value;
  if (name == "active" || name == "inflight") report.messages_active = value;
  if (name == "waiting" || name == "queue") report.messages_waiting = value;
  if (name == "cpu" || name == "util") report.processor_utilization = value;
  if ((name == "avg_ms" || name == "latency_ms") && value < 1e9) {
    report.wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
  }
  if (name == "allowed" || name == "qps") report.allowed_per_s = value;
  if (name == "cut_by" || name == "eps") report.shed_fraction = value;
}

// ---- SimulatorAdapter

ServerId SimulatorAdapter::Instance::server_id(std::string_view address) {
  if (const auto it = ids_.find(address); it != ids_.end()) return it->second;
  const ServerId id{static_cast<std::uint32_t>(addresses.size())};
  addresses.emplace_back(address);
  ids_.emplace(address, id);
  return id;
}

void SimulatorAdapter::handle_line(std::string_view line) {
  ++line_number_;
  const Message message(line, line_number_);
  if (open_list_ != nullptr) return handle_list_entry(message);
  if (!now_) {
    if (line.empty()) return;
    if (message.name() != "CLOCK") message.fail(message.name(), "is outside a batch");
    now_ = message.time("nowNs");
  } else if (message.name() == "COMMIT") {
    now_.reset();
    reply_ += "END\n";
    out_ << reply_ << std::flush;
    reply_.clear();
  } else {
    handle_message(message);
  }
}

void SimulatorAdapter::handle_end_of_input() {
  if (now_) throw MalformedInput(line_number_ + 1, "COMMIT", "is missing at the end of input");
}

void SimulatorAdapter::handle_list_entry(const Message& message) {
  if (message.name() != "M") message.fail(message.name(), "is found where an M line is expected");
  ListEntry entry;
  entry.address = message.text("server");
  entry.entry.zone = Zone{message.number<std::uint32_t>("az")};
  entry.entry.pool = Pool{message.number<std::int64_t>("placeNo")};
  entry.entry.state = message.one_of<ServerState>("state", {{"in_service", ServerState::in_service},
                                                            {"terminating", ServerState::terminating},
                                                            {"terminated", ServerState::terminated}});
  entry.entry.weight = message.number<double>("weight");
  if (const auto since = message.find_number<Duration::rep>("onlineSinceNs"); since.value_or(0) != 0) {
    entry.entry.online_since = Time(Duration(*since));
  }
  open_list_->push_back(std::move(entry));
  if (--missing_entries_ == 0) open_list_ = nullptr;
}

SimulatorAdapter::Instance& SimulatorAdapter::instance(const Message& message) {
  const auto it = instances_.find(message.number<int>("i"));
  if (it == instances_.end()) message.fail("i", "is not the number of a started instance");
  return it->second;
}

void SimulatorAdapter::dispatch(const Message& message, const Event& event) {
  Instance& target = instance(message);
  actions_.clear();
  target.controller.handle(*now_, event, actions_);
  const ActionWriter writer(reply_, message.number<int>("i"), target.addresses);
  for (const Action& action : actions_) std::visit(writer, action);
}

void SimulatorAdapter::start_instance(const Message& message) {
  const int number = message.number<int>("i");
  instances_.erase(number);
  instances_.emplace(
      std::piecewise_construct, std::forward_as_tuple(number),
      std::forward_as_tuple(parse_settings(message), message.number<std::uint64_t>("nonce64")));
}

// One branch per kind of message; to be divided with the module.
// NOLINTNEXTLINE(readability-function-cognitive-complexity)
void SimulatorAdapter::handle_message(const Message& message) {
  const std::string_view name = message.name();
  if (name == "QUERY") {
    NewCall event;
    event.call = message.call("corr");
    event.call_class = message.number<ClassIndex>("category");
    if (event.call_class >= instance(message).class_count)
      message.fail("category", "is not the index of a class in the settings");
    event.number = Number{message.number<std::uint64_t>("entity")};
    event.destination = Pool{message.find_number<std::int64_t>("dest").value_or(-1)};
    event.deadline = message.time("deadlineNs");
    event.circuits = message.find_number<double>("circuits").value_or(1);
    event.in_transit = message.find_flag("transit");
    event.is_reconnect = message.find_flag("reconnect");
    event.redial = message.find_flag("retry");
    dispatch(message, event);
  } else if (name == "VERDICT") {
    AttemptEnded event;
    event.call = message.call("corr");
    event.attempt = message.number<int>("try");
    event.server = instance(message).server_id(message.text("server"));
    event.outcome = message.one_of("ending", kOutcomes);
    event.delay = message.duration("elapsedNs");
    event.call_finished = message.find_flag("doneFlag");
    const int code = message.find_number<int>("why").value_or(0);
    constexpr int kReasonCodes = 16;  // value = reason code + 16 * wait in milliseconds
    if (code < 0) message.fail("why", "is below 0");
    if (code == 18) {
      event.reason = FullReason::returned;
    } else {
      constexpr FullReason kReasonByCode[] = {FullReason::none, FullReason::no_circuit, FullReason::returned,
                                              FullReason::processor, FullReason::number_busy};
      if (const int reason = code % kReasonCodes; reason <= 4) event.reason = kReasonByCode[reason];
      if (code >= kReasonCodes) event.retry_after = std::chrono::milliseconds(code / kReasonCodes);
    }
    event.report = parse_report(message, "feedback");
    dispatch(message, event);
  } else if (name == "FIRST_BYTE") {
    dispatch(message, CallEstablished{message.call("corr"), message.number<int>("try"),
                                      instance(message).server_id(message.text("server")),
                                      message.duration("elapsedNs")});
  } else if (name == "TIMER") {
    dispatch(message, TimerDue{TimerId{message.number<std::uint64_t>("cookie")}});
  } else if (name == "LEFT") {
    dispatch(message, CallerDisconnected{message.call("corr")});
  } else if (name == "PROBE_RESULT") {
    dispatch(message, ServerReport{instance(message).server_id(message.text("server")),
                                   parse_report(message, "feedback")});
  } else if (name == "PEER_DATA") {
    dispatch(message, PeerMessage{message.number<std::uint32_t>("srcPeer"), message.bytes("contents")});
  } else if (name == "BACKENDS_CHANGED") {
    ServerList event;
    event.kind = message.one_of<ListKind>("kind", {{"changes", ListKind::changes},
                                                   {"all", ListKind::all},
                                                   {"remembered", ListKind::cached},
                                                   {"refused", ListKind::rejected}});
    if (event.kind != ListKind::rejected) {
      const auto list = lists_.find(message.number<int>("setId"));
      if (list == lists_.end()) message.fail("setId", "is not the id of a list that was sent");
      for (const ListEntry& entry : list->second) {
        event.entries.push_back(entry.entry);
        event.entries.back().server = instance(message).server_id(entry.address);
      }
    }
    dispatch(message, event);
  } else if (name == "REGISTER") {
    std::vector<ListEntry>& list = lists_[message.number<int>("setId")];
    list.clear();
    missing_entries_ = message.number<std::size_t>("records");
    open_list_ = missing_entries_ > 0 ? &list : nullptr;
  } else if (name == "ENLIST") {
    start_instance(message);
  } else if (name == "TEARDOWN") {
    instances_.erase(message.number<int>("i"));
  }
}

}  // namespace graniterun::wire
