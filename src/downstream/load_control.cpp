#include "downstream/load_control.h"

#include <algorithm>

#include "codec/number.h"

namespace graniterun::downstream {
namespace {

using namespace std::chrono_literals;

constexpr const char* kEvent = "load-control";
constexpr const char* kContentType = "application/load-control+xml";
constexpr Duration kMaxLifetime = 1h;  // of a subscription, in both directions
constexpr Duration kMinLifetime = 5s;
constexpr Duration kRetryInterval = 5s;  // between attempts to subscribe at a neighbour

std::string dialog_key(std::string_view call_id, std::string_view local_tag, std::string_view remote_tag) {
  return std::string(call_id).append("|").append(local_tag).append("|").append(remote_tag);
}

std::optional<std::int64_t> seconds_in(std::string_view text) {
  const auto value = number_in<std::int64_t>(text);
  return value && *value >= 0 && *value <= 1'000'000'000 ? value : std::nullopt;
}

// A header value without its parameters.
std::string_view value_of(std::string_view value) { return sip::trim(value.substr(0, value.find(';'))); }

std::int64_t seconds_until(Time now, Time end) {
  return std::max<std::int64_t>(0, std::chrono::ceil<std::chrono::seconds>(end - now).count());
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

void LoadControl::respond(Time now, const std::string& key, int status, Outbox& out, const char* header,
                          const std::string& value) {
  const sip::Message* m = transactions_.request_of(key);
  if (m == nullptr) return;
  sip::Message answer = sip::answer_to(*m, status, sip::phrase_of(status), ids_.next());
  if (header != nullptr) answer.add(header, value);
  transactions_.respond(now, key, answer, out);
}

sip::Message LoadControl::make_request(const Dialog& d, const std::string& method) {
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

void LoadControl::handle_subscribe(Time now, const std::string& key, const sip::Flow& flow,
                                   const sip::Message& m, Outbox& out) {
  counters_.add("load_control.subscribes");
  if (!source_.gaps || value_of(m.header("Event")) != kEvent)
    return respond(now, key, 489, out, "Allow-Events", kEvent);
  if (const std::string_view accepts = m.header("Accept");
      !accepts.empty() && accepts.find(kContentType) == std::string_view::npos &&
      accepts.find("*/*") == std::string_view::npos)
    return respond(now, key, 406, out, "Accept", kContentType);
  Duration lifetime = kMaxLifetime;
  if (const std::string_view expires = m.header("Expires"); !expires.empty()) {
    const auto value = seconds_in(expires);
    if (!value) return respond(now, key, 400, out);
    lifetime = std::min<Duration>(kMaxLifetime, std::chrono::seconds(*value));
    if (lifetime > Duration{} && lifetime < kMinLifetime)
      return respond(now, key, 423, out, "Min-Expires", std::to_string(kMinLifetime / 1s));
  }
  const std::string_view remote_tag = sip::parameter(m.header("From"), "tag");
  const std::string_view local_tag = sip::parameter(m.header("To"), "tag");
  auto it = subscriptions_.find(dialog_key(m.header("Call-ID"), local_tag, remote_tag));
  const std::uint32_t number = sip::cseq_of(m)->number;
  if (!local_tag.empty()) {
    if (it == subscriptions_.end()) return respond(now, key, 481, out);
    if (number <= it->second.dialog.remote_cseq) return respond(now, key, 500, out);
  } else {
    if (subscriptions_.size() >= kMaxSubscriptions) {
      counters_.add("load_control.subscribes_barred");
      return respond(now, key, 503, out, "Retry-After", "30");
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
    it = subscriptions_.emplace(dialog_key(d.call_id, tag, remote_tag), std::move(s)).first;
  }
  Subscription& s = it->second;
  s.dialog.remote_cseq = number;
  s.expires_at = now + lifetime;
  accept(now, key, m, s.dialog, lifetime, out);
  // Each SUBSCRIBE is answered with a NOTIFY of the complete state (RFC 6665, 4.2.1.2).
  if (lifetime > Duration{})
    return send_notify(now, s, "active;expires=" + std::to_string(seconds_until(now, s.expires_at)), out);
  send_notify(now, s, "terminated;reason=timeout", out);
  subscriptions_.erase(it);
}

void LoadControl::accept(Time now, const std::string& key, const sip::Message& m, const Dialog& d,
                         Duration lifetime, Outbox& out) {
  sip::Message answer = sip::answer_to(m, 200, sip::phrase_of(200), sip::parameter(d.local, "tag"));
  answer.add("Expires", std::to_string(std::chrono::ceil<std::chrono::seconds>(lifetime).count()));
  answer.add("Contact", contact(d.flow.reliable));
  for (const std::string& route : d.routes) answer.add("Record-Route", route);
  transactions_.respond(now, key, answer, out);
}

void LoadControl::send_notify(Time now, Subscription& s, const std::string& state, Outbox& out) {
  control::LoadControlDocument document;
  document.version = s.version++;
  std::size_t omitted = 0;
  for (const call_gapping::GapState& gap : source_.gaps(now)) {
    if (gap.announcement->end <= now) continue;
    const auto rule = control::rule_of(*gap.announcement);
    if (!rule || document.rules.size() >= control::kMaxRules) {
      omitted += gap.announcement->gap ? 1 : 0;
      continue;
    }
    document.rules.push_back(*rule);
  }
  std::string body = control::write_load_control(document);
  while (body.size() > control::kLargestDocument && !document.rules.empty()) {
    omitted += document.rules.size() - document.rules.size() / 2;
    document.rules.resize(document.rules.size() / 2);
    body = control::write_load_control(document);
  }
  if (omitted > 0) counters_.add("load_control.gaps_not_told", omitted);
  s.notified_digest = source_.digest();
  ++s.dialog.cseq;
  sip::Message m = make_request(s.dialog, "NOTIFY");
  m.add("Subscription-State", state);
  m.add("Content-Type", kContentType);
  m.body = std::move(body);
  counters_.add("load_control.notifies_out");
  sip::Flow flow = s.dialog.flow;
  const std::string key = dialog_key(s.dialog.call_id, sip::parameter(s.dialog.local, "tag"),
                                     sip::parameter(s.dialog.remote, "tag"));
  by_transaction_.insert_or_assign(transactions_.send_request(now, flow, m, out), key);
}

// ---- subscriber

void LoadControl::send_subscribe(Time now, Neighbour& n, Outbox& out) {
  Dialog& d = n.dialog;
  if (!n.expires_at) {
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
  sip::Message m = make_request(d, "SUBSCRIBE");
  m.add("Accept", kContentType);
  m.add("Expires", std::to_string(kMaxLifetime / 1s));
  counters_.add("load_control.subscribes_out");
  n.transaction = transactions_.send_request(now, d.flow, m, out);
  n.next_subscribe_at = now + 2 * sip::k64T1;  // replaced by the response or the timeout
}

void LoadControl::handle_response(Time now, const std::string& transaction, const sip::Message& m,
                                  Outbox& out) {
  if (const auto it = by_transaction_.find(transaction); it != by_transaction_.end()) {
    // For instance 481: the neighbour has no such subscription any more.
    if (m.status >= 300) subscriptions_.erase(it->second);
    if (m.status >= 200) by_transaction_.erase(it);
    return;
  }
  for (Neighbour& n : neighbours_) {
    if (n.transaction != transaction || m.status < 200) continue;
    n.transaction.clear();
    const auto lifetime = seconds_in(m.header("Expires"));
    if (m.status >= 300 || !lifetime || *lifetime == 0) {
      counters_.add("load_control.subscribes_refused");
      malformed_warning_.line(now,
                              "load-control subscription at neighbour " + n.address + " failed: status " +
                                  std::to_string(m.status),
                              out);
      n.next_subscribe_at = now + kRetryInterval;
      n.expires_at.reset();
      continue;  // the gaps announced for it last until their end
    }
    n.dialog.remote = m.header("To");
    if (const std::string_view contact = m.header("Contact"); !contact.empty())
      n.dialog.target = sip::uri_in(contact);
    const Duration granted = std::min<Duration>(kMaxLifetime, std::chrono::seconds(*lifetime));
    n.expires_at = now + granted;
    n.next_subscribe_at = now + granted / 2;
    announce_gaps(now, n, out);  // extends them to the new end of the subscription
  }
}

void LoadControl::handle_request_timeout(Time now, const std::string& transaction) {
  if (const auto it = by_transaction_.find(transaction); it != by_transaction_.end()) {
    counters_.add("load_control.notifies_unheard");
    subscriptions_.erase(it->second);
    by_transaction_.erase(it);
  }
  for (Neighbour& n : neighbours_) {
    if (n.transaction != transaction) continue;
    n.transaction.clear();
    n.expires_at.reset();
    n.next_subscribe_at = now + kRetryInterval;
  }
}

void LoadControl::handle_notify(Time now, const std::string& key, const sip::Message& m, Outbox& out) {
  counters_.add("load_control.notifies_in");
  // A NOTIFY must belong to a subscription made from here, by Call-ID and local tag. It may arrive before the
  // response to the SUBSCRIBE.
  const auto it = std::find_if(neighbours_.begin(), neighbours_.end(), [&](const Neighbour& n) {
    return !n.dialog.call_id.empty() && n.dialog.call_id == m.header("Call-ID") &&
           sip::parameter(n.dialog.local, "tag") == sip::parameter(m.header("To"), "tag");
  });
  if (it == neighbours_.end() || !source_.announce) return respond(now, key, 481, out);
  if (value_of(m.header("Event")) != kEvent) return respond(now, key, 489, out, "Allow-Events", kEvent);
  Neighbour& n = *it;
  const std::uint32_t number = sip::cseq_of(m)->number;
  if (number <= n.dialog.remote_cseq) return respond(now, key, 500, out);
  n.dialog.remote_cseq = number;
  const bool terminated = value_of(m.header("Subscription-State")) == "terminated";
  if (!m.body.empty()) {
    if (value_of(m.header("Content-Type")) != kContentType)
      return respond(now, key, 415, out, "Accept", kContentType);
    try {
      control::LoadControlDocument document = control::read_load_control(m.body);
      // Throws unless every rule can be converted: a document is accepted completely or not at all.
      control::gaps_of(document, n.address, now, now + kMaxLifetime);
      const bool outdated = n.document && !n.version_reset && document.version <= n.document->version;
      if (!outdated) {
        n.document = std::move(document);
        n.version_reset = false;
        announce_gaps(now, n, out);
      }
    } catch (const control::LoadControlError& error) {
      // The gaps of the last accepted document stay.
      counters_.add("load_control.documents_refused");
      malformed_warning_.line(
          now, "load-control document from neighbour " + n.address + " rejected: " + error.what(), out);
      return respond(now, key, 400, out, "Warning",
                     std::string("399 graniterun \"") + "the document is not understood\"");
    }
  }
  respond(now, key, 200, out);
  if (!terminated) return;
  n.expires_at.reset();
  n.next_subscribe_at = now + kRetryInterval;
}

// Announces the gaps of the neighbour's last document, which replaces all earlier ones: gaps that it no
// longer contains are lifted.
void LoadControl::announce_gaps(Time now, Neighbour& n, Outbox& out) {
  if (!n.document || !source_.announce) return;
  const Time end = n.expires_at.value_or(now + kMaxLifetime);
  const std::vector<call_gapping::Announcement> gaps = control::gaps_of(*n.document, n.address, now, end);
  std::set<std::string> ids;
  for (const call_gapping::Announcement& gap : gaps) {
    source_.announce(now, gap, out);
    ids.insert(gap.id);
  }
  std::swap(ids, n.gap_ids);  // `ids` are the former ones now
  for (const std::string& id : ids) {
    if (n.gap_ids.contains(id)) continue;
    call_gapping::Announcement lift;
    lift.id = id;
    lift.author = n.address;
    lift.version = static_cast<std::uint64_t>(
        std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch()).count());
    lift.created_at = lift.start = lift.end = now;
    source_.announce(now, lift, out);
  }
}

// ---- ticks

void LoadControl::tick(Time now, Outbox& out) {
  for (auto it = subscriptions_.begin(); it != subscriptions_.end();) {
    Subscription& s = it->second;
    if (s.expires_at <= now) {
      send_notify(now, s, "terminated;reason=timeout", out);
      it = subscriptions_.erase(it);
      continue;
    }
    if (s.notified_digest != source_.digest())
      send_notify(now, s, "active;expires=" + std::to_string(seconds_until(now, s.expires_at)), out);
    ++it;
  }
  if (!source_.announce) return;
  for (Neighbour& n : neighbours_) {
    if (n.expires_at && *n.expires_at <= now) n.expires_at.reset();
    if (n.next_subscribe_at <= now) send_subscribe(now, n, out);
  }
}

}  // namespace graniterun::downstream
