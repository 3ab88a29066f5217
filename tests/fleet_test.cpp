// Tests of the fleet's datagram codec and of the gatekeeper's fleet part: rejected datagrams and their
// counters, a fleet port that is in use, and how a stopping process leaves the fleet.
#include <nlohmann/json.hpp>
#include <random>

#include "fleet/datagram.h"
#include "lab.h"

using namespace graniterun;
using namespace graniterun::test;
using namespace graniterun::membership;

namespace {

const fleet::Key kKey = *fleet::parse_key(std::string(64, 'a') + "\n");
const std::string kFleet = "trail";

Record record(const std::string& name, std::size_t address_length = 14) {
  Record r;
  r.name = name;
  r.incarnation = 1'764'600'000'000;
  r.start_nonce = ~std::uint64_t{0};
  r.address = std::string(address_length, '9');
  r.refutation = 70'000;
  r.state = State::suspect;
  r.state_reason = StateReason::unresponsive;
  r.suspecting_member = name;
  return r;
}

std::vector<membership::Datagram> one_datagram_of_each_kind() {
  std::vector<membership::Datagram> all;
  const auto add = [&](MessageBody body) {
    membership::Datagram d;
    d.from = record("n1");
    d.to = "n2";
    d.sequence_number = 77;
    d.digest = ~std::uint64_t{0};
    d.catching_up = all.size() % 2 == 1;
    d.body = std::move(body);
    d.records = {record("n3"), record("n4")};
    all.push_back(std::move(d));
  };
  add(Ping{5, true, true, record("n2")});
  add(Ping{5, false, false, {}});
  add(Ack{6, true, record("n2")});
  add(Ack{6, false, {}});
  add(PingRequest{7, "n3", "127.0.0.1:7946"});
  add(RelayedAck{8});
  add(Nack{9});
  add(SyncRequest{std::vector<std::uint64_t>(kDigestBuckets, ~std::uint64_t{0})});
  add(Gossip{});
  return all;
}

membership::Datagram read(const std::string& bytes) {
  auto result = fleet::decode(bytes, kFleet, kKey);
  CHECK(std::holds_alternative<membership::Datagram>(result));
  return std::get<membership::Datagram>(result);
}
fleet::DecodeError decode_error(const std::string& bytes, const std::string& fleet_name = kFleet,
                                const fleet::Key& key = kKey) {
  const auto result = fleet::decode(bytes, fleet_name, key);
  CHECK(std::holds_alternative<fleet::DecodeError>(result));
  return std::get<fleet::DecodeError>(result);
}

void datagram_roundtrip_preserves_fields() {
  for (const membership::Datagram& d : one_datagram_of_each_kind()) {
    const std::string bytes = fleet::encode(d, kFleet, kKey);
    CHECK(bytes.size() <= fleet::kMaxDatagramBytes);
    const membership::Datagram again = read(bytes);
    CHECK_EQ(fleet::encode(again, kFleet, kKey), bytes);
    CHECK_EQ(again.records.size(), 2U);
    CHECK(again.from.suspecting_member == "n1" && again.to == "n2" && again.sequence_number == 77);
  }
}

// The records that membership puts into one datagram fit the size limit, also with names of maximum length.
void longest_datagram_fits_size_limit() {
  for (membership::Datagram d : one_datagram_of_each_kind()) {
    const std::string name(kMaxNameLength, 'n');
    d.from = record(name, kMaxAddressLength);
    d.to = name;
    if (auto* ping = std::get_if<Ping>(&d.body)) ping->receiver_record = record(name, kMaxAddressLength);
    d.records.clear();
    if (!std::holds_alternative<SyncRequest>(d.body)) {
      std::size_t bytes = 0;
      for (Record r = record("n5"); bytes + max_encoded_bytes(r) <= kMaxRecordBytes;
           bytes += max_encoded_bytes(r))
        d.records.push_back(r);
    }
    const std::size_t record_count = d.records.size();
    const std::string bytes = fleet::encode(d, kFleet, kKey);
    CHECK(bytes.size() <= fleet::kMaxDatagramBytes);
    CHECK(std::holds_alternative<Ping>(d.body) || read(bytes).records.size() == record_count);
    // max_encoded_bytes() is an upper bound on the encoded size of a record.
    Record r = record("n5");
    membership::Datagram with_record = d;
    with_record.records = {r};
    membership::Datagram without_records = d;
    without_records.records.clear();
    CHECK(fleet::encode(with_record, kFleet, kKey).size() -
              fleet::encode(without_records, kFleet, kKey).size() <=
          max_encoded_bytes(r));
  }
}

void any_changed_bit_fails_authentication() {
  const std::string bytes = fleet::encode(one_datagram_of_each_kind()[0], kFleet, kKey);
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    for (int bit = 0; bit < 8; ++bit) {
      std::string forged = bytes;
      forged[at] = static_cast<char>(forged[at] ^ (1 << bit));
      CHECK(decode_error(forged) == fleet::DecodeError::tag);
    }
    CHECK(decode_error(bytes.substr(0, at)) == fleet::DecodeError::tag);
  }
  CHECK(decode_error(bytes + "x") == fleet::DecodeError::tag);
  CHECK(decode_error(std::string(1201, 'x')) == fleet::DecodeError::too_long);
  CHECK(decode_error(bytes, "other") == fleet::DecodeError::fleet);
  CHECK(decode_error(bytes, kFleet, *fleet::parse_key(std::string(64, 'b'))) == fleet::DecodeError::tag);
}

// A holder of the key may still send malformed content: it must be rejected without a crash.
void authenticated_garbage_is_rejected() {
  std::mt19937_64 random(11);
  const std::string valid = fleet::encode(one_datagram_of_each_kind()[0], kFleet, kKey).substr(32);
  std::size_t malformed = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string text = valid;
    for (int change = 0; change < 1 + i % 4; ++change)
      text[random() % text.size()] = static_cast<char>(random());
    if (i % 5 == 0) text.resize(random() % text.size());
    const std::string bytes = fleet::prepend_tag(text, kKey);
    const auto result = fleet::decode(bytes, kFleet, kKey);
    malformed += std::holds_alternative<fleet::DecodeError>(result) ? 1 : 0;
  }
  CHECK(malformed > 1000);
  CHECK(decode_error(fleet::prepend_tag("\x01", kKey)) == fleet::DecodeError::malformed);
  CHECK(decode_error(fleet::prepend_tag(std::string("\x81\x02", 2), kKey)) == fleet::DecodeError::version);
}

void key_requires_64_hex_digits() {
  CHECK(!fleet::parse_key(std::string(63, 'a')));
  CHECK(!fleet::parse_key(std::string(66, 'a')));
  CHECK(!fleet::parse_key(std::string(63, 'a') + "g"));
  CHECK(fleet::parse_key("  " + std::string(32, '0') + "\n" + std::string(32, 'F') + "\n").has_value());
}

// ---- the gatekeeper's fleet part

DeployConfig deploy(const std::string& name) {
  DeployConfig d;
  d.control.emplace();
  d.control->listen = "127.0.0.1:7400";
  d.fleet.emplace();
  d.fleet->fleet = kFleet;
  d.fleet->listen = "127.0.0.1:7946";
  d.fleet->key = kKey;
  d.fleet->membership.name = name;
  d.fleet->membership.advertise = "127.0.0.1:7946";
  d.fleet->membership.incarnation = d.fleet->membership.start_nonce = 5;
  d.fleet->membership.seeds = {"127.0.0.1:7947"};
  return d;
}

struct FleetFixture : GatekeeperLab {
  explicit FleetFixture(const PlatformConfig& config = config_for_tests())
      : GatekeeperLab(config, deploy("n0")) {}
  void datagram(const std::string& bytes) { deliver(net::Datagram{Concern::fleet, "127.0.0.1:7947", bytes}); }
  nlohmann::json request(const std::string& what) {
    const ConnId conn{Concern::control, 1};
    deliver(net::Accepted{conn});
    receive(conn, R"({"op":"fleet","what":")" + what + "\"}\n");
    nlohmann::json line = nlohmann::json::parse(take_sent(conn));
    deliver(net::Closed{conn, false});
    return line;
  }
  std::string counter(const std::string& name) {
    const std::string text = print_counters();
    const std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos
               ? "0"
               : text.substr(at + name.size() + 2, text.find('\n', at + 1) - at - name.size() - 2);
  }
  std::string print_counters() {
    net::Effects effects;
    gatekeeper.step(now, net::CountersRequested{}, effects);
    for (const net::Effect& e : effects) {
      if (const auto* print = std::get_if<net::Print>(&e)) return "\n" + print->text;
    }
    return {};
  }
};

void dropped_datagrams_are_counted_by_reason() {
  FleetFixture lab;
  const membership::Datagram d = one_datagram_of_each_kind()[1];
  lab.datagram("nonsense of some length, more than a tag has, and then some more");
  lab.datagram(std::string(1300, 'x'));
  lab.datagram(fleet::encode(d, "other", kKey));
  lab.datagram(fleet::prepend_tag(std::string("\x81\x02", 2), kKey));
  lab.datagram(fleet::prepend_tag("\x01", kKey));
  for (const char* reason : {"tag", "too_long", "fleet", "version", "malformed"})
    CHECK_EQ(lab.counter(std::string("fleet.refused.") + reason), "1");
  membership::Datagram elsewhere = d;
  elsewhere.to = "n9";
  lab.datagram(fleet::encode(elsewhere, kFleet, kKey));
  CHECK_EQ(lab.counter("fleet.dropped.misdirected"), "1");
  lab.advance(2s);
  CHECK_EQ(lab.request("view")["size"], 1);
}

void two_gatekeepers_find_each_other() {
  FleetFixture lab;
  Membership other([] {
    membership::Settings s;
    s.name = "n1";
    s.advertise = "127.0.0.1:7947";
    s.incarnation = s.start_nonce = 6;
    s.seeds = {"127.0.0.1:7946"};
    return s;
  }());
  membership::Effects effects;
  other.step(lab.now, Started{}, effects);
  for (int i = 0; i < 40; ++i) {
    for (const membership::Effect& e : std::exchange(effects, {})) {
      if (const auto* send = std::get_if<SendDatagram>(&e))
        lab.datagram(fleet::encode(send->datagram, kFleet, kKey));
    }
    for (const net::SendDatagram& sent : std::exchange(lab.datagrams, {})) {
      CHECK_EQ(sent.peer, "127.0.0.1:7947");
      other.step(lab.now, DatagramReceived{read(sent.bytes)}, effects);
    }
    lab.advance(50ms);
    other.step(lab.now, Tick{}, effects);
  }
  const nlohmann::json members = lab.request("members");
  CHECK(members["ok"] == true && members["size"] == 2 && members["settled"] == true);
  CHECK_EQ(members["digest"], std::to_string(other.view().digest));
  CHECK_EQ(members["members"][1]["state"], "alive");
  CHECK_EQ(members["members"][1]["reach"], "direct");
  CHECK_EQ(lab.request("nothing")["ok"], false);

  // Its port is unreachable, and again when it is pinged a second time.
  lab.deliver(net::Unreachable{Concern::fleet, "127.0.0.1:7947", {}});
  CHECK_EQ(lab.request("members")["members"][1]["state"], "suspect");
  lab.advance(200ms);
  lab.deliver(net::Unreachable{Concern::fleet, "127.0.0.1:7947", {}});
  CHECK_EQ(lab.request("members")["members"][1]["state"], "dead");
  CHECK_EQ(lab.counter("fleet.deaths_by_refusal"), "1");
}

void bind_is_retried_while_port_is_taken() {
  FleetFixture lab;
  CHECK_EQ(lab.binds.size(), 1U);
  CHECK(lab.binds[0].exclusive);
  for (int i = 0; i < 3; ++i) {
    lab.deliver(net::BindFailed{Concern::fleet});
    lab.advance(200ms);
  }
  CHECK_EQ(lab.binds.size(), 4U);
  CHECK(!lab.exit_status);
}

void stopping_process_leaves_or_hands_over() {
  for (const bool inherited : {false, true}) {
    PlatformConfig config = config_for_tests();
    if (inherited) config.inherited_socket = 7;
    FleetFixture lab(config);
    lab.advance(1s);  // no seed answers: it announces itself alone
    CHECK_EQ(lab.request("view")["member"], true);
    lab.deliver(net::StopRequested{});
    CHECK_EQ(lab.unbinds, 0);  // the leave or handover is announced first
    lab.advance(400ms);
    CHECK_EQ(lab.unbinds, inherited ? 1 : 0);
    CHECK_EQ(lab.request("view")["member"], false);
  }
}

// An operator's leave is announced, and the process continues to serve calls.
void operator_leave_keeps_serving_calls() {
  FleetFixture lab;
  lab.advance(1s);
  CHECK_EQ(lab.request("leave")["member"], false);
  CHECK_EQ(lab.request("members")["members"][0]["state"], "left");
  lab.bring_up();
  CHECK(!lab.exit_status);
}

}  // namespace

int main() {
  datagram_roundtrip_preserves_fields();
  longest_datagram_fits_size_limit();
  any_changed_bit_fails_authentication();
  authenticated_garbage_is_rejected();
  key_requires_64_hex_digits();
  dropped_datagrams_are_counted_by_reason();
  two_gatekeepers_find_each_other();
  bind_is_retried_while_port_is_taken();
  stopping_process_leaves_or_hands_over();
  operator_leave_keeps_serving_calls();
}
