#include "downstream/load_control.h"

#include <algorithm>

#include "codec/number.h"

namespace graniterun::downstream {
namespace {

using namespace std::chrono_literals;

constexpr const char* kEvent = "load-control";
constexpr const char* kType = "application/load-control+xml";
constexpr Duration kMaxSubscription = 1h;  // of a subscription
constexpr Duration kMinSubscription = 5s;
constexpr Duration kRetryInterval = 5s;  // after one that failed

std::string dialog_key(std::string_view call_id, std::string_view local_tag, std::string_view remote_tag) {
  return std::string(call_id).append("|").append(local_tag).append("|").append(remote_tag);
}

std::optional<std::int64_t> seconds_in(std::string_view text) {
  const auto value = number_in<std::int64_t>(text);
  return value && *value >= 0 && *value <= 1'000'000'000 ? value : std::nullopt;
}

std::string_view word_at(std::string_view value) { return sip::trim(value.substr(0, value.find(';'))); }

std::int64_t left(Time now, Time ends) {
  return std::max<std::int64_t>(0, std::chrono::ceil<std::chrono::seconds>(ends - now).count());
}

}  // namespace

LoadControl::LoadControl(LoadControlSettings settings, sip::Transactions& transactions, Counters& counters)
    : settings_(std::move(settings)),
      transactions_(transactions),
      counters_(counters),
      ids_(settings_.seed * 5 + 3) {
  for (const std::string& address : settings_.neighbours) {
    Neighbour n;
    n.address = address;
    neighbours_.push_back(std::move(n));
  }
}

std::string LoadControl::contact(bool reliable) const {
  const auto& address = reliable ? settings_.tcp : settings_.udp;
  return "<sip:" + address.value_or("") + (reliable ? ";transport=tcp>" : ">");
}

void LoadControl::reject(Time now, const std::string& key, int status, Outbox& out, const char* header,
                         const std::string& value) {
  const sip::Message* m = transactions_.request_of(key);
  if (m == nullptr) return;
  sip::Message answer = sip::answer_to(*m, status, sip::phrase_of(status), ids_.next());
  if (header != nullptr) answer.add(header, value);
  transactions_.respond(now, key, answer, out);
}

sip::Message LoadControl::request(const Dialog& d, const std::string& method) {
  sip::Message m;
  m.method = method;
  m.uri = d.target;
  const auto& address = d.flow.reliable ? settings_.tcp : settings_.udp;
  m.add("Via", std::string(d.flow.reliable ? "SIP/2.0/TCP " : "SIP/2.0/UDP ") + address.value_or("") +
                   ";branch=" + std::string(sip::kCookie) + ids_.next());
  m.add("Max-Forwards", "70");
  for (const std::string& route : d.routes) m.add("Route", route);
  m.add("From", d.local);
  m.add("To", d.remote);
  m.add("Call-ID", d.call_id);
  m.add("CSeq", std::to_string(d.cseq) + " " + method);
  m.add("Contact", contact(d.flow.reliable));
  m.add("Event", kEvent);
  return m;
}

// ---- notifier

void LoadControl::subscribed(Time now, const std::string& key, const sip::Flow& flow, const sip::Message& m,
                             Outbox& out) {
  counters_.add("load_control.subscribes");
  if (!source_.gaps || word_at(m.header("Event")) != kEvent)
    return reject(now, key, 489, out, "Allow-Events", kEvent);
  if (const std::string_view accepts = m.header("Accept"); !accepts.empty() &&
                                                           accepts.find(kType) == std::string_view::npos &&
                                                           accepts.find("*/*") == std::string_view::npos)
    return reject(now, key, 406, out, "Accept", kType);
  Duration span = kMaxSubscription;
  if (const std::string_view expires = m.header("Expires"); !expires.empty()) {
    const auto value = seconds_in(expires);
    if (!value) return reject(now, key, 400, out);
    span = std::min<Duration>(kMaxSubscription, std::chrono::seconds(*value));
    if (span > Duration{} && span < kMinSubscription)
      return reject(now, key, 423, out, "Min-Expires", std::to_string(kMinSubscription / 1s));
  }
  const std::string_view their_tag = sip::parameter(m.header("From"), "tag");
  const std::string_view our_tag = sip::parameter(m.header("To"), "tag");
  auto it = subscriptions_.find(dialog_key(m.header("Call-ID"), our_tag, their_tag));
  const std::uint32_t number = sip::cseq_of(m)->number;
  if (!our_tag.empty()) {
    if (it == subscriptions_.end()) return reject(now, key, 481, out);
    if (number <= it->second.dialog.remote_cseq) return reject(now, key, 500, out);
  } else {
    if (subscriptions_.size() >= kMaxSubscriptions) {
      counters_.add("load_control.subscribes_barred");
      return reject(now, key, 503, out, "Retry-After", "30");
    }
    Subscription s;
    Dialog& d = s.dialog;
    const std::string tag = ids_.next();
    d.call_id = m.header("Call-ID");
    d.local = std::string(m.header("To")).append(";tag=").append(tag);
    d.remote = m.header("From");
    const std::string_view contact = m.header("Contact");
    d.target = sip::uri_in(contact.empty() ? m.header("From") : contact);
    for (const std::string_view route : m.all("Record-Route")) d.routes.emplace_back(route);
    d.flow = flow;
    it = subscriptions_.emplace(dialog_key(d.call_id, tag, their_tag), std::move(s)).first;
  }
  Subscription& s = it->second;
  s.dialog.remote_cseq = number;
  s.ends = now + span;
  accept(now, key, m, s.dialog, span, out);
  // Each SUBSCRIBE is followed by the whole state (RFC 6665, 4.2.1.2).
  if (span > Duration{}) return notify(now, s, "active;expires=" + std::to_string(left(now, s.ends)), out);
  notify(now, s, "terminated;reason=timeout", out);
  subscriptions_.erase(it);
}

void LoadControl::accept(Time now, const std::string& key, const sip::Message& m, const Dialog& d,
                         Duration span, Outbox& out) {
  sip::Message answer = sip::answer_to(m, 200, sip::phrase_of(200), sip::parameter(d.local, "tag"));
  answer.add("Expires", std::to_string(std::chrono::ceil<std::chrono::seconds>(span).count()));
  answer.add("Contact", contact(d.flow.reliable));
  for (const std::string& route : d.routes) answer.add("Record-Route", route);
  transactions_.respond(now, key, answer, out);
}

void LoadControl::notify(Time now, Subscription& s, const std::string& state, Outbox& out) {
  control::LoadControlDocument document;
  document.version = s.version++;
  std::size_t left_out = 0;
  for (const call_gapping::GapState& gap : source_.gaps(now)) {
    if (gap.announcement->end <= now) continue;
    const auto rule = control::rule_of(*gap.announcement);
    if (!rule || document.rules.size() >= control::kMaxRules) {
      left_out += gap.announcement->gap ? 1 : 0;
      continue;
    }
    document.rules.push_back(*rule);
  }
  std::string body = control::write_load_control(document);
  while (body.size() > control::kLargestDocument && !document.rules.empty()) {
    left_out += document.rules.size() - document.rules.size() / 2;
    document.rules.resize(document.rules.size() / 2);
    body = control::write_load_control(document);
  }
  if (left_out > 0) counters_.add("load_control.gaps_not_told", left_out);
  s.notified_digest = source_.digest();
  ++s.dialog.cseq;
  sip::Message m = request(s.dialog, "NOTIFY");
  m.add("Subscription-State", state);
  m.add("Content-Type", kType);
  m.body = std::move(body);
  counters_.add("load_control.notifies_out");
  sip::Flow flow = s.dialog.flow;
  const std::string key = dialog_key(s.dialog.call_id, sip::parameter(s.dialog.local, "tag"),
                                     sip::parameter(s.dialog.remote, "tag"));
  by_transaction_.insert_or_assign(transactions_.send_request(now, flow, m, out), key);
}

// ---- subscriber

void LoadControl::subscribe(Time now, Neighbour& n, Outbox& out) {
  Dialog& d = n.dialog;
  if (!n.ends) {
    d = {};
    d.call_id = ids_.next() + "@load";
    d.flow = {!settings_.udp, 0, n.address};
    d.target = "sip:" + n.address + (settings_.udp ? "" : ";transport=tcp");
    d.local =
        "<sip:graniterun@" + settings_.udp.value_or(settings_.tcp.value_or("")) + ">;tag=" + ids_.next();
    d.remote = "<sip:" + n.address + ">";
    n.version_reset = true;
  }
  ++d.cseq;
  sip::Message m = request(d, "SUBSCRIBE");
  m.add("Accept", kType);
  m.add("Expires", std::to_string(kMaxSubscription / 1s));
  counters_.add("load_control.subscribes_out");
  n.transaction = transactions_.send_request(now, d.flow, m, out);
  n.next = now + 2 * sip::k64T1;  // its answer or its end says when
}

void LoadControl::answered(Time now, const std::string& transaction, const sip::Message& m, Outbox& out) {
  if (const auto it = by_transaction_.find(transaction); it != by_transaction_.end()) {
    if (m.status >= 300) subscriptions_.erase(it->second);  // 481: it knows of no subscription any more
    if (m.status >= 200) by_transaction_.erase(it);
    return;
  }
  for (Neighbour& n : neighbours_) {
    if (n.transaction != transaction || m.status < 200) continue;
    n.transaction.clear();
    const auto span = seconds_in(m.header("Expires"));
    if (m.status >= 300 || !span || *span == 0) {
      counters_.add("load_control.subscribes_refused");
      malformed_warning_.line(
          now, "neighbour " + n.address + " gives no load control: " + std::to_string(m.status), out);
      n.next = now + kRetryInterval;
      n.ends.reset();
      continue;  // what it asked for goes on to its own end
    }
    n.dialog.remote = m.header("To");
    if (const std::string_view contact = m.header("Contact"); !contact.empty())
      n.dialog.target = sip::uri_in(contact);
    const Duration lasts = std::min<Duration>(kMaxSubscription, std::chrono::seconds(*span));
    n.ends = now + lasts;
    n.next = now + lasts / 2;
    store_gaps(now, n, out);  // for as long as it was refreshed
  }
}

void LoadControl::unanswered(Time now, const std::string& transaction) {
  if (const auto it = by_transaction_.find(transaction); it != by_transaction_.end()) {
    counters_.add("load_control.notifies_unheard");
    subscriptions_.erase(it->second);
    by_transaction_.erase(it);
  }
  for (Neighbour& n : neighbours_) {
    if (n.transaction != transaction) continue;
    n.transaction.clear();
    n.ends.reset();
    n.next = now + kRetryInterval;
  }
}

void LoadControl::notified(Time now, const std::string& key, const sip::Message& m, Outbox& out) {
  counters_.add("load_control.notifies_in");
  // Only of a subscription of ours: its Call-ID and our tag. It may come ahead of the answer to the
  // SUBSCRIBE.
  const auto own = std::find_if(neighbours_.begin(), neighbours_.end(), [&](const Neighbour& n) {
    return !n.dialog.call_id.empty() && n.dialog.call_id == m.header("Call-ID") &&
           sip::parameter(n.dialog.local, "tag") == sip::parameter(m.header("To"), "tag");
  });
  if (own == neighbours_.end() || !source_.announce) return reject(now, key, 481, out);
  if (word_at(m.header("Event")) != kEvent) return reject(now, key, 489, out, "Allow-Events", kEvent);
  Neighbour& n = *own;
  const std::uint32_t number = sip::cseq_of(m)->number;
  if (number <= n.dialog.remote_cseq) return reject(now, key, 500, out);
  n.dialog.remote_cseq = number;
  const bool over = word_at(m.header("Subscription-State")) == "terminated";
  if (!m.body.empty()) {
    if (word_at(m.header("Content-Type")) != kType) return reject(now, key, 415, out, "Accept", kType);
    try {
      control::LoadControlDocument document = control::read_load_control(m.body);
      control::gaps_of(document, n.address, now,
                       now + kMaxSubscription);  // understood as a whole, or refused
      const bool late = n.document && !n.version_reset && document.version <= n.document->version;
      if (!late) {
        n.document = std::move(document);
        n.version_reset = false;
        store_gaps(now, n, out);
      }
    } catch (const control::LoadControlError& trouble) {
      // Refused whole: what was held before goes on.
      counters_.add("load_control.documents_refused");
      malformed_warning_.line(
          now, "a load-control document of " + n.address + " is refused: " + trouble.what(), out);
      return reject(now, key, 400, out, "Warning",
                    std::string("399 graniterun \"") + "the document is not understood\"");
    }
  }
  reject(now, key, 200, out);
  if (!over) return;
  n.ends.reset();
  n.next = now + kRetryInterval;
}

// The last document is the whole of what the neighbour asks for: what it no longer names is lifted.
void LoadControl::store_gaps(Time now, Neighbour& n, Outbox& out) {
  if (!n.document || !source_.announce) return;
  const Time until = n.ends.value_or(now + kMaxSubscription);
  const std::vector<call_gapping::Announcement> gaps = control::gaps_of(*n.document, n.address, now, until);
  std::set<std::string> held;
  for (const call_gapping::Announcement& a : gaps) {
    source_.announce(now, a, out);
    held.insert(a.id);
  }
  std::swap(held, n.held);
  for (const std::string& id : held) {
    if (n.held.contains(id)) continue;
    call_gapping::Announcement lift;
    lift.id = id;
    lift.author = n.address;
    lift.version = static_cast<std::uint64_t>(
        std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch()).count());
    lift.created_at = lift.start = lift.end = now;
    source_.announce(now, lift, out);
  }
}

// ---- time

void LoadControl::tick(Time now, Outbox& out) {
  for (auto it = subscriptions_.begin(); it != subscriptions_.end();) {
    Subscription& s = it->second;
    if (s.ends <= now) {
      notify(now, s, "terminated;reason=timeout", out);
      it = subscriptions_.erase(it);
      continue;
    }
    if (s.notified_digest != source_.digest())
      notify(now, s, "active;expires=" + std::to_string(left(now, s.ends)), out);
    ++it;
  }
  if (!source_.announce) return;
  for (Neighbour& n : neighbours_) {
    if (n.ends && *n.ends <= now) n.ends.reset();
    if (n.next <= now) subscribe(now, n, out);
  }
}

}  // namespace graniterun::downstream
