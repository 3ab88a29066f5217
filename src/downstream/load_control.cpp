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
    : settings_(std::move(settings)), transactions_(transactions), counters_(counters), ids_(settings_.seed) {
  for (const std::string& address : settings_.neighbours) {
    Neighbour neighbour;
    neighbour.address = address;
    neighbours_.push_back(std::move(neighbour));
  }
}

std::string LoadControl::contact(bool reliable) const {
  const auto& address = reliable ? settings_.tcp : settings_.udp;
  return "<sip:" + address.value_or("") + (reliable ? ";transport=tcp>" : ">");
}

void LoadControl::respond(Time now, const std::string& key, int status, Outbox& out, const char* header,
                          const std::string& value) {
  const sip::Message* message = transactions_.request_of(key);
  if (message == nullptr) return;
  sip::Message answer = sip::answer_to(*message, status, sip::phrase_of(status), ids_.next());
  if (header != nullptr) answer.add(header, value);
  transactions_.respond(now, key, answer, out);
}

// A response to a request that changed nothing here: a repeat gets the same one without a transaction.
void LoadControl::reject(const std::string& key, int status, Outbox& out, const char* header,
                         const std::string& value) {
  const sip::Message* message = transactions_.request_of(key);
  if (message == nullptr) return;
  sip::Message answer = sip::answer_to(*message, status, sip::phrase_of(status), sip::stateless_tag(key));
  if (header != nullptr) answer.add(header, value);
  transactions_.respond_without_state(key, answer, out);
}

sip::Message LoadControl::make_request(const Dialog& dialog, const std::string& method) {
  sip::Message message;
  message.method = method;
  message.uri = dialog.target;
  const auto& address = dialog.flow.reliable ? settings_.tcp : settings_.udp;
  message.add("Via", sip::make_via(dialog.flow.reliable, address.value_or(""), ids_.next()));
  message.add("Max-Forwards", "70");
  for (const std::string& route : dialog.routes) message.add("Route", route);
  message.add("From", dialog.local);
  message.add("To", dialog.remote);
  message.add("Call-ID", dialog.call_id);
  message.add("CSeq", std::to_string(dialog.cseq) + " " + method);
  message.add("Contact", contact(dialog.flow.reliable));
  message.add("Event", kEvent);
  return message;
}

// ---- notifier

void LoadControl::handle_subscribe(Time now, const std::string& key, const sip::Flow& flow,
                                   const sip::Message& message, Outbox& out) {
  counters_.add("load_control.subscribes");
  if (!source_.gaps || value_of(message.header("Event")) != kEvent)
    return reject(key, 489, out, "Allow-Events", kEvent);
  if (const std::string_view accepts = message.header("Accept");
      !accepts.empty() && accepts.find(kContentType) == std::string_view::npos &&
      accepts.find("*/*") == std::string_view::npos)
    return reject(key, 406, out, "Accept", kContentType);
  Duration lifetime = kMaxLifetime;
  if (const std::string_view expires = message.header("Expires"); !expires.empty()) {
    const auto value = seconds_in(expires);
    if (!value) return reject(key, 400, out);
    lifetime = std::min<Duration>(kMaxLifetime, std::chrono::seconds(*value));
    if (lifetime > Duration{} && lifetime < kMinLifetime)
      return reject(key, 423, out, "Min-Expires", std::to_string(kMinLifetime / 1s));
  }
  const std::string_view remote_tag = sip::parameter(message.header("From"), "tag");
  const std::string_view local_tag = sip::parameter(message.header("To"), "tag");
  auto it = subscriptions_.find(dialog_key(message.header("Call-ID"), local_tag, remote_tag));
  const std::uint32_t number = sip::cseq_of(message)->number;
  if (!local_tag.empty()) {
    if (it == subscriptions_.end()) return reject(key, 481, out);
    if (number <= it->second.dialog.remote_cseq) return reject(key, 500, out);
  } else {
    if (subscriptions_.size() >= kMaxSubscriptions) {
      counters_.add("load_control.subscribes_barred");
      return reject(key, 503, out, "Retry-After", "30");
    }
    Subscription subscription;
    Dialog& dialog = subscription.dialog;
    const std::string tag = ids_.next();
    dialog.call_id = message.header("Call-ID");
    dialog.local = std::string(message.header("To")).append(";tag=").append(tag);
    dialog.remote = message.header("From");
    const std::string_view contact = message.header("Contact");
    dialog.target = sip::uri_in(contact.empty() ? message.header("From") : contact);
    for (const std::string_view route : message.header_values("Record-Route"))
      dialog.routes.emplace_back(route);
    dialog.flow = flow;
    it = subscriptions_.emplace(dialog_key(dialog.call_id, tag, remote_tag), std::move(subscription)).first;
  }
  Subscription& subscription = it->second;
  subscription.dialog.remote_cseq = number;
  subscription.expires_at = now + lifetime;
  accept(now, key, message, subscription.dialog, lifetime, out);
  // Each SUBSCRIBE is answered with a NOTIFY of the complete state (RFC 6665, 4.2.1.2).
  if (lifetime > Duration{})
    return send_notify(now, subscription,
                       "active;expires=" + std::to_string(seconds_until(now, subscription.expires_at)), out);
  send_notify(now, subscription, "terminated;reason=timeout", out);
  subscriptions_.erase(it);
}

void LoadControl::accept(Time now, const std::string& key, const sip::Message& message, const Dialog& dialog,
                         Duration lifetime, Outbox& out) {
  sip::Message answer =
      sip::answer_to(message, 200, sip::phrase_of(200), sip::parameter(dialog.local, "tag"));
  answer.add("Expires", std::to_string(std::chrono::ceil<std::chrono::seconds>(lifetime).count()));
  answer.add("Contact", contact(dialog.flow.reliable));
  for (const std::string& route : dialog.routes) answer.add("Record-Route", route);
  transactions_.respond(now, key, answer, out);
}

void LoadControl::send_notify(Time now, Subscription& subscription, const std::string& state, Outbox& out) {
  control::LoadControlDocument document;
  document.version = subscription.version++;
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
  while (body.size() > control::kMaxLoadControlBytes && !document.rules.empty()) {
    omitted += document.rules.size() - document.rules.size() / 2;
    document.rules.resize(document.rules.size() / 2);
    body = control::write_load_control(document);
  }
  if (omitted > 0) counters_.add("load_control.gaps_not_told", omitted);
  subscription.notified_digest = source_.digest();
  ++subscription.dialog.cseq;
  sip::Message message = make_request(subscription.dialog, "NOTIFY");
  message.add("Subscription-State", state);
  message.add("Content-Type", kContentType);
  message.body = std::move(body);
  counters_.add("load_control.notifies_out");
  sip::Flow flow = subscription.dialog.flow;
  const std::string key =
      dialog_key(subscription.dialog.call_id, sip::parameter(subscription.dialog.local, "tag"),
                 sip::parameter(subscription.dialog.remote, "tag"));
  by_transaction_.insert_or_assign(transactions_.send_request(now, flow, message, out), key);
}

// ---- subscriber

void LoadControl::send_subscribe(Time now, Neighbour& neighbour, Outbox& out) {
  Dialog& dialog = neighbour.dialog;
  if (!neighbour.expires_at) {
    dialog = {};
    dialog.call_id = ids_.next() + "@load";
    dialog.flow = {!settings_.udp, 0, neighbour.address};
    dialog.target = "sip:" + neighbour.address + (settings_.udp ? "" : ";transport=tcp");
    dialog.local =
        "<sip:graniterun@" + settings_.udp.value_or(settings_.tcp.value_or("")) + ">;tag=" + ids_.next();
    dialog.remote = "<sip:" + neighbour.address + ">";
    neighbour.version_reset = true;
  }
  ++dialog.cseq;
  sip::Message message = make_request(dialog, "SUBSCRIBE");
  message.add("Accept", kContentType);
  message.add("Expires", std::to_string(kMaxLifetime / 1s));
  counters_.add("load_control.subscribes_out");
  neighbour.transaction = transactions_.send_request(now, dialog.flow, message, out);
  neighbour.next_subscribe_at = now + 2 * sip::k64T1;  // replaced by the response or the timeout
}

void LoadControl::handle_response(Time now, const std::string& transaction, const sip::Message& message,
                                  Outbox& out) {
  if (const auto it = by_transaction_.find(transaction); it != by_transaction_.end()) {
    // For instance 481: the neighbour has no such subscription any more.
    if (message.status >= 300) subscriptions_.erase(it->second);
    if (message.status >= 200) by_transaction_.erase(it);
    return;
  }
  for (Neighbour& neighbour : neighbours_) {
    if (neighbour.transaction != transaction || message.status < 200) continue;
    neighbour.transaction.clear();
    const auto lifetime = seconds_in(message.header("Expires"));
    if (message.status >= 300 || !lifetime || *lifetime == 0) {
      counters_.add("load_control.subscribes_refused");
      malformed_warning_.line(now,
                              "load-control subscription at neighbour " + neighbour.address +
                                  " failed: status " + std::to_string(message.status),
                              out);
      neighbour.next_subscribe_at = now + kRetryInterval;
      neighbour.expires_at.reset();
      continue;  // the gaps announced for it last until their end
    }
    neighbour.dialog.remote = message.header("To");
    if (const std::string_view contact = message.header("Contact"); !contact.empty())
      neighbour.dialog.target = sip::uri_in(contact);
    const Duration granted = std::min<Duration>(kMaxLifetime, std::chrono::seconds(*lifetime));
    neighbour.expires_at = now + granted;
    neighbour.next_subscribe_at = now + granted / 2;
    announce_gaps(now, neighbour, out);  // extends them to the new end of the subscription
  }
}

void LoadControl::handle_request_timeout(Time now, const std::string& transaction) {
  if (const auto it = by_transaction_.find(transaction); it != by_transaction_.end()) {
    counters_.add("load_control.notifies_unheard");
    subscriptions_.erase(it->second);
    by_transaction_.erase(it);
  }
  for (Neighbour& neighbour : neighbours_) {
    if (neighbour.transaction != transaction) continue;
    neighbour.transaction.clear();
    neighbour.expires_at.reset();
    neighbour.next_subscribe_at = now + kRetryInterval;
  }
}

void LoadControl::handle_notify(Time now, const std::string& key, const sip::Message& message, Outbox& out) {
  counters_.add("load_control.notifies_in");
  // A NOTIFY must belong to a subscription made from here, by Call-ID and local tag. It may arrive before the
  // response to the SUBSCRIBE.
  const auto it = std::find_if(neighbours_.begin(), neighbours_.end(), [&](const Neighbour& neighbour) {
    return !neighbour.dialog.call_id.empty() && neighbour.dialog.call_id == message.header("Call-ID") &&
           sip::parameter(neighbour.dialog.local, "tag") == sip::parameter(message.header("To"), "tag");
  });
  if (it == neighbours_.end() || !source_.announce) return reject(key, 481, out);
  if (value_of(message.header("Event")) != kEvent) return reject(key, 489, out, "Allow-Events", kEvent);
  Neighbour& neighbour = *it;
  const std::uint32_t number = sip::cseq_of(message)->number;
  if (number <= neighbour.dialog.remote_cseq) return reject(key, 500, out);
  neighbour.dialog.remote_cseq = number;
  const bool terminated = value_of(message.header("Subscription-State")) == "terminated";
  if (!message.body.empty()) {
    if (value_of(message.header("Content-Type")) != kContentType)
      return respond(now, key, 415, out, "Accept", kContentType);
    try {
      control::LoadControlDocument document = control::read_load_control(message.body);
      // Throws unless every rule can be converted: a document is accepted completely or not at all.
      control::gaps_of(document, neighbour.address, now, now + kMaxLifetime);
      const bool outdated =
          neighbour.document && !neighbour.version_reset && document.version <= neighbour.document->version;
      if (!outdated) {
        neighbour.document = std::move(document);
        neighbour.version_reset = false;
        announce_gaps(now, neighbour, out);
      }
    } catch (const control::LoadControlError& error) {
      // The gaps of the last accepted document stay.
      counters_.add("load_control.documents_refused");
      malformed_warning_.line(
          now, "load-control document from neighbour " + neighbour.address + " rejected: " + error.what(),
          out);
      return respond(now, key, 400, out, "Warning",
                     std::string("399 graniterun \"") + "the document is not understood\"");
    }
  }
  respond(now, key, 200, out);
  if (!terminated) return;
  neighbour.expires_at.reset();
  neighbour.next_subscribe_at = now + kRetryInterval;
}

// Announces the gaps of the neighbour's last document, which replaces all earlier ones: gaps that it no
// longer contains are lifted.
void LoadControl::announce_gaps(Time now, Neighbour& neighbour, Outbox& out) {
  if (!neighbour.document || !source_.announce) return;
  const Time end = neighbour.expires_at.value_or(now + kMaxLifetime);
  const std::vector<call_gapping::Announcement> gaps =
      control::gaps_of(*neighbour.document, neighbour.address, now, end);
  std::set<std::string> ids;
  for (const call_gapping::Announcement& gap : gaps) {
    source_.announce(now, gap, out);
    ids.insert(gap.id);
  }
  std::swap(ids, neighbour.gap_ids);  // `ids` are the former ones now
  for (const std::string& id : ids) {
    if (neighbour.gap_ids.contains(id)) continue;
    call_gapping::Announcement lift;
    lift.id = id;
    lift.author = neighbour.address;
    lift.version = static_cast<std::uint64_t>(
        std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch()).count());
    lift.created_at = lift.start = lift.end = now;
    source_.announce(now, lift, out);
  }
}

// ---- ticks

void LoadControl::start(Time now) { ids_ = RandomIdGenerator(settings_.seed * 5 + 3, now); }

void LoadControl::tick(Time now, Outbox& out) {
  for (auto it = subscriptions_.begin(); it != subscriptions_.end();) {
    Subscription& subscription = it->second;
    if (subscription.expires_at <= now) {
      send_notify(now, subscription, "terminated;reason=timeout", out);
      it = subscriptions_.erase(it);
      continue;
    }
    if (subscription.notified_digest != source_.digest())
      send_notify(now, subscription,
                  "active;expires=" + std::to_string(seconds_until(now, subscription.expires_at)), out);
    ++it;
  }
  if (!source_.announce) return;
  for (Neighbour& neighbour : neighbours_) {
    if (neighbour.expires_at && *neighbour.expires_at <= now) neighbour.expires_at.reset();
    if (neighbour.next_subscribe_at <= now) send_subscribe(now, neighbour, out);
  }
}

}  // namespace graniterun::downstream
