// Datagrams among gatekeepers as bytes, and the fleet's part of the gatekeeper: what is dropped, and that it
// is counted; what becomes of a port that is taken; how a process ends.
#include <nlohmann/json.hpp>
#include <random>

#include "fleet/datagram.h"
#include "lab.h"

using namespace graniterun;
using namespace graniterun::test;
using namespace graniterun::membership;

namespace {

const fleet::Key kKey = *fleet::key_in(std::string(64, 'a') + "\n");
const std::string kFleet = "trail";

Record record(const std::string& name, std::size_t address_length = 14) {
  Record r;
  r.name = name;
  r.incarnation = 1'764'600'000'000;
  r.start_nonce = ~std::uint64_t{0};
  r.address = std::string(address_length, '9');
  r.refutation = 70'000;
  r.state = State::suspect;
  r.evidence = Evidence::unresponsive;
  r.suspecting_member = name;
  return r;
}

std::vector<membership::Datagram> every_kind() {
  std::vector<membership::Datagram> all;
  const auto add = [&](Body body) {
    membership::Datagram d;
    d.from = record("n1");
    d.to = "n2";
    d.number = 77;
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
  add(SyncRequest{std::vector<std::uint64_t>(kBuckets, ~std::uint64_t{0})});
  add(Gossip{});
  return all;
}

membership::Datagram read(const std::string& bytes) {
  auto result = fleet::decode(bytes, kFleet, kKey);
  CHECK(std::holds_alternative<membership::Datagram>(result));
  return std::get<membership::Datagram>(result);
}
fleet::DecodeError refusal(const std::string& bytes, const std::string& fleet_name = kFleet,
                           const fleet::Key& key = kKey) {
  const auto result = fleet::decode(bytes, fleet_name, key);
  CHECK(std::holds_alternative<fleet::DecodeError>(result));
  return std::get<fleet::DecodeError>(result);
}

void datagrams_come_back_as_they_were() {
  for (const membership::Datagram& d : every_kind()) {
    const std::string bytes = fleet::encode(d, kFleet, kKey);
    CHECK(bytes.size() <= fleet::kMaxDatagramBytes);
    const membership::Datagram again = read(bytes);
    CHECK_EQ(fleet::encode(again, kFleet, kKey), bytes);
    CHECK_EQ(again.records.size(), 2U);
    CHECK(again.from.suspecting_member == "n1" && again.to == "n2" && again.number == 77);
  }
}

// What membership puts into one datagram fits one, with the longest names there are.
void the_longest_datagram_fits() {
  for (membership::Datagram d : every_kind()) {
    const std::string name(kMaxNameLength, 'n');
    d.from = record(name, kMaxAddressLength);
    d.to = name;
    if (auto* ping = std::get_if<Ping>(&d.body)) ping->about_receiver = record(name, kMaxAddressLength);
    d.records.clear();
    if (!std::holds_alternative<SyncRequest>(d.body)) {
      std::size_t bytes = 0;
      for (Record r = record("n5"); bytes + bytes_of(r) <= kRecordBytes; bytes += bytes_of(r))
        d.records.push_back(r);
    }
    const std::size_t wanted = d.records.size();
    const std::string bytes = fleet::encode(d, kFleet, kKey);
    CHECK(bytes.size() <= fleet::kMaxDatagramBytes);
    CHECK(std::holds_alternative<Ping>(d.body) || read(bytes).records.size() == wanted);
    // Its reckoning is no less than what a record takes.
    Record r = record("n5");
    membership::Datagram one = d;
    one.records = {r};
    membership::Datagram none = d;
    none.records.clear();
    CHECK(fleet::encode(one, kFleet, kKey).size() - fleet::encode(none, kFleet, kKey).size() <= bytes_of(r));
  }
}

void one_bit_is_enough_to_refuse_it() {
  const std::string bytes = fleet::encode(every_kind()[0], kFleet, kKey);
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    for (int bit = 0; bit < 8; ++bit) {
      std::string forged = bytes;
      forged[at] = static_cast<char>(forged[at] ^ (1 << bit));
      CHECK(refusal(forged) == fleet::DecodeError::tag);
    }
    CHECK(refusal(bytes.substr(0, at)) == fleet::DecodeError::tag);
  }
  CHECK(refusal(bytes + "x") == fleet::DecodeError::tag);
  CHECK(refusal(std::string(1201, 'x')) == fleet::DecodeError::too_long);
  CHECK(refusal(bytes, "other") == fleet::DecodeError::fleet);
  CHECK(refusal(bytes, kFleet, *fleet::key_in(std::string(64, 'b'))) == fleet::DecodeError::tag);
}

// Whoever has the key may still write nonsense.
void what_has_the_key_and_makes_no_sense_is_refused() {
  std::mt19937_64 random(11);
  const std::string good = fleet::encode(every_kind()[0], kFleet, kKey).substr(32);
  std::size_t malformed = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string text = good;
    for (int change = 0; change < 1 + i % 4; ++change)
      text[random() % text.size()] = static_cast<char>(random());
    if (i % 5 == 0) text.resize(random() % text.size());
    const std::string bytes = fleet::sealed(text, kKey);
    const auto result = fleet::decode(bytes, kFleet, kKey);
    malformed += std::holds_alternative<fleet::DecodeError>(result) ? 1 : 0;
  }
  CHECK(malformed > 1000);
  CHECK(refusal(fleet::sealed("\x01", kKey)) == fleet::DecodeError::malformed);
  CHECK(refusal(fleet::sealed(std::string("\x81\x02", 2), kKey)) == fleet::DecodeError::version);
}

void a_key_is_64_hex_digits() {
  CHECK(!fleet::key_in(std::string(63, 'a')));
  CHECK(!fleet::key_in(std::string(66, 'a')));
  CHECK(!fleet::key_in(std::string(63, 'a') + "g"));
  CHECK(fleet::key_in("  " + std::string(32, '0') + "\n" + std::string(32, 'F') + "\n").has_value());
}

// ---- the part of the gatekeeper

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

struct FleetLab : Lab {
  explicit FleetLab(const PlatformConfig& config = config_for_tests()) : Lab(config, deploy("n0")) {}
  void datagram(const std::string& bytes) { tell(net::Datagram{Concern::fleet, "127.0.0.1:7947", bytes}); }
  nlohmann::json ask(const std::string& what) {
    const ConnId conn{Concern::control, 1};
    tell(net::Accepted{conn});
    receive(conn, R"({"op":"fleet","what":")" + what + "\"}\n");
    nlohmann::json line = nlohmann::json::parse(take(conn));
    tell(net::Closed{conn, false});
    return line;
  }
  std::string counter(const std::string& name) {
    const std::string text = printed();
    const std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos
               ? "0"
               : text.substr(at + name.size() + 2, text.find('\n', at + 1) - at - name.size() - 2);
  }
  std::string printed() {
    net::Effects effects;
    gatekeeper.step(now, net::CountersRequested{}, effects);
    for (const net::Effect& e : effects) {
      if (const auto* print = std::get_if<net::Print>(&e)) return "\n" + print->text;
    }
    return {};
  }
};

void what_is_dropped_is_counted_by_reason() {
  FleetLab lab;
  const membership::Datagram d = every_kind()[1];
  lab.datagram("nonsense of some length, more than a tag has, and then some more");
  lab.datagram(std::string(1300, 'x'));
  lab.datagram(fleet::encode(d, "other", kKey));
  lab.datagram(fleet::sealed(std::string("\x81\x02", 2), kKey));
  lab.datagram(fleet::sealed("\x01", kKey));
  for (const char* reason : {"tag", "too_long", "fleet", "version", "malformed"})
    CHECK_EQ(lab.counter(std::string("fleet.refused.") + reason), "1");
  membership::Datagram elsewhere = d;
  elsewhere.to = "n9";
  lab.datagram(fleet::encode(elsewhere, kFleet, kKey));
  CHECK_EQ(lab.counter("fleet.dropped.misdirected"), "1");
  lab.pass(2s);
  CHECK_EQ(lab.ask("view")["size"], 1);
}

void two_gatekeepers_find_each_other() {
  FleetLab lab;
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
      if (const auto* tell = std::get_if<SendDatagram>(&e))
        lab.datagram(fleet::encode(tell->datagram, kFleet, kKey));
    }
    for (const net::SendDatagram& sent : std::exchange(lab.datagrams, {})) {
      CHECK_EQ(sent.peer, "127.0.0.1:7947");
      other.step(lab.now, DatagramReceived{read(sent.bytes)}, effects);
    }
    lab.pass(50ms);
    other.step(lab.now, Tick{}, effects);
  }
  const nlohmann::json members = lab.ask("members");
  CHECK(members["ok"] == true && members["size"] == 2 && members["settled"] == true);
  CHECK_EQ(members["digest"], std::to_string(other.view().digest));
  CHECK_EQ(members["members"][1]["state"], "alive");
  CHECK_EQ(members["members"][1]["reach"], "direct");
  CHECK_EQ(lab.ask("nothing")["ok"], false);

  // Its port refuses, and refuses again when it is asked again.
  lab.tell(net::Unreachable{Concern::fleet, "127.0.0.1:7947", {}});
  CHECK_EQ(lab.ask("members")["members"][1]["state"], "suspect");
  lab.pass(200ms);
  lab.tell(net::Unreachable{Concern::fleet, "127.0.0.1:7947", {}});
  CHECK_EQ(lab.ask("members")["members"][1]["state"], "dead");
  CHECK_EQ(lab.counter("fleet.deaths_by_refusal"), "1");
}

void a_taken_port_is_tried_again() {
  FleetLab lab;
  CHECK_EQ(lab.binds.size(), 1U);
  CHECK(lab.binds[0].exclusive);
  for (int i = 0; i < 3; ++i) {
    lab.tell(net::BindFailed{Concern::fleet});
    lab.pass(200ms);
  }
  CHECK_EQ(lab.binds.size(), 4U);
  CHECK(!lab.exit_status);
}

void the_end_of_a_process_is_told() {
  for (const bool inherited : {false, true}) {
    PlatformConfig config = config_for_tests();
    if (inherited) config.inherited = 7;
    FleetLab lab(config);
    lab.pass(1s);  // no seed answers: it is there alone
    CHECK_EQ(lab.ask("view")["member"], true);
    lab.tell(net::StopRequested{});
    CHECK_EQ(lab.unbinds, 0);  // it is told first
    lab.pass(400ms);
    CHECK_EQ(lab.unbinds, inherited ? 1 : 0);
    CHECK_EQ(lab.ask("view")["member"], false);
  }
}

// By hand: it says so, and serves on.
void an_operator_has_it_leave() {
  FleetLab lab;
  lab.pass(1s);
  CHECK_EQ(lab.ask("leave")["member"], false);
  CHECK_EQ(lab.ask("members")["members"][0]["state"], "left");
  lab.bring_up();
  CHECK(!lab.exit_status);
}

}  // namespace

int main() {
  datagrams_come_back_as_they_were();
  the_longest_datagram_fits();
  one_bit_is_enough_to_refuse_it();
  what_has_the_key_and_makes_no_sense_is_refused();
  a_key_is_64_hex_digits();
  what_is_dropped_is_counted_by_reason();
  two_gatekeepers_find_each_other();
  a_taken_port_is_tried_again();
  the_end_of_a_process_is_told();
  an_operator_has_it_leave();
}
