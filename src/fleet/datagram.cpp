#include "fleet/datagram.h"

#include <sodium.h>

#include <nlohmann/json.hpp>

namespace graniterun::fleet {
namespace {

using namespace membership;
using nlohmann::json;

static_assert(kKeyBytes == crypto_auth_KEYBYTES);
constexpr std::size_t kTag = crypto_auth_BYTES;
constexpr std::size_t kMaxRecords = 64;

struct Malformed {};

json to_json(const Record& record) {
  return json::array({record.name, record.incarnation, record.start_nonce, record.address, record.refutation,
                      static_cast<unsigned>(record.state), static_cast<unsigned>(record.evidence),
                      record.suspecting_member, record.handing_over ? 1U : 0U});
}

std::uint64_t number_in(const json& j, std::uint64_t most = ~std::uint64_t{0}) {
  if (!j.is_number_unsigned() || j.get<std::uint64_t>() > most) throw Malformed{};
  return j.get<std::uint64_t>();
}
std::string text_in(const json& j, std::size_t most) {
  if (!j.is_string() || j.get_ref<const std::string&>().size() > most) throw Malformed{};
  return j.get<std::string>();
}
const json& array_in(const json& j, std::size_t size) {
  if (!j.is_array() || j.size() != size) throw Malformed{};
  return j;
}

Record record_in(const json& j) {
  array_in(j, 9);
  Record record;
  record.name = text_in(j[0], kMaxNameLength);
  record.incarnation = number_in(j[1], ~std::uint64_t{0} >> 1);  // lives are stepped
  record.start_nonce = number_in(j[2]);
  record.address = text_in(j[3], kMaxAddressLength);
  record.refutation = static_cast<std::uint32_t>(number_in(j[4], 0x7fffffff));
  record.state = static_cast<State>(number_in(j[5], static_cast<unsigned>(State::left)));
  record.evidence = static_cast<Evidence>(number_in(j[6], static_cast<unsigned>(Evidence::replaced)));
  record.suspecting_member = text_in(j[7], kMaxNameLength);
  record.handing_over = number_in(j[8], 1) == 1;
  if (record.name.empty() || record.address.empty()) throw Malformed{};
  return record;
}

// The records of one process may be its own or what another holds of it: none is written as null.
json maybe(bool known, const Record& record) { return known ? to_json(record) : json(); }

json body_of(const Body& body) {
  return std::visit(
      [](const auto& b) -> json {
        using B = std::decay_t<decltype(b)>;
        if constexpr (std::is_same_v<B, Ping>) {
          return json::array({b.token, b.by_non_member ? 1U : 0U, maybe(b.known, b.about_receiver)});
        } else if constexpr (std::is_same_v<B, Ack>) {
          return json::array({b.token, maybe(b.known, b.about_receiver)});
        } else if constexpr (std::is_same_v<B, PingRequest>) {
          return json::array({b.token, b.name, b.address});
        } else if constexpr (std::is_same_v<B, SyncRequest>) {
          return json(b.buckets);
        } else if constexpr (std::is_same_v<B, Gossip>) {
          return json::array();
        } else {
          return json::array({b.token});
        }
      },
      body);
}

Body body_in(std::uint64_t kind, const json& j) {
  const auto record = [](const json& object, bool& known, Record& into) {
    known = !object.is_null();
    if (known) into = record_in(object);
  };
  switch (kind) {
    case 0: {
      array_in(j, 3);
      Ping ping;
      ping.token = number_in(j[0]);
      ping.by_non_member = number_in(j[1], 1) == 1;
      record(j[2], ping.known, ping.about_receiver);
      return ping;
    }
    case 1: {
      array_in(j, 2);
      Ack ack;
      ack.token = number_in(j[0]);
      record(j[1], ack.known, ack.about_receiver);
      return ack;
    }
    case 2:
      array_in(j, 3);
      return PingRequest{number_in(j[0]), text_in(j[1], kMaxNameLength), text_in(j[2], kMaxAddressLength)};
    case 3:
      return RelayedAck{number_in(array_in(j, 1)[0])};
    case 4:
      return Nack{number_in(array_in(j, 1)[0])};
    case 5: {
      SyncRequest request;
      for (const json& one : array_in(j, kBuckets)) request.buckets.push_back(number_in(one));
      return request;
    }
    case 6:
      array_in(j, 0);
      return Gossip{};
    default:
      throw Malformed{};
  }
}

}  // namespace

std::optional<Key> key_in(std::string_view text) {
  Key key{};
  std::size_t length = 0;
  if (sodium_hex2bin(key.data(), key.size(), text.data(), text.size(), " \t\r\n", &length, nullptr) != 0 ||
      length != key.size())
    return std::nullopt;
  return key;
}

std::string_view to_string(DecodeError refusal) {
  constexpr std::string_view kWords[] = {"too_long", "tag", "malformed", "version", "fleet"};
  return kWords[static_cast<std::size_t>(refusal)];
}

std::string encode(const Datagram& datagram, std::string_view fleet, const Key& key) {
  json records = json::array();
  for (const Record& record : datagram.records) records.push_back(to_json(record));
  json whole = json::array({kVersion, fleet, datagram.body.index(), to_json(datagram.from), datagram.to,
                            datagram.number, datagram.digest, datagram.catching_up ? 1U : 0U,
                            body_of(datagram.body), std::move(records)});
  std::vector<std::uint8_t> bytes = json::to_cbor(whole);
  while (kTag + bytes.size() > kMaxDatagramBytes && !whole[9].empty()) {
    whole[9].erase(whole[9].size() - 1);
    bytes = json::to_cbor(whole);
  }
  return sealed({reinterpret_cast<const char*>(bytes.data()), bytes.size()}, key);
}

std::string sealed(std::string_view bytes, const Key& key) {
  std::string text(kTag, '\0');
  text += bytes;
  crypto_auth(reinterpret_cast<unsigned char*>(text.data()),
              reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), key.data());
  return text;
}

std::variant<Datagram, DecodeError> decode(std::string_view bytes, std::string_view fleet, const Key& key) {
  if (bytes.size() > kMaxDatagramBytes) return DecodeError::too_long;
  if (bytes.size() <= kTag) return DecodeError::tag;
  const auto* tag = reinterpret_cast<const unsigned char*>(bytes.data());
  const std::string_view told = bytes.substr(kTag);
  if (crypto_auth_verify(tag, reinterpret_cast<const unsigned char*>(told.data()), told.size(), key.data()) !=
      0)
    return DecodeError::tag;
  json whole;
  try {
    whole = json::from_cbor(told.begin(), told.end());
  } catch (const json::exception&) {  // some sizes throw even where it is asked not to
    return DecodeError::malformed;
  }
  // The version stands first in every format to come.
  if (!whole.is_array() || whole.empty() || !whole[0].is_number_unsigned()) return DecodeError::malformed;
  if (whole[0].get<std::uint64_t>() != kVersion) return DecodeError::version;
  try {
    array_in(whole, 10);
    if (text_in(whole[1], kMaxNameLength) != fleet) return DecodeError::fleet;
    Datagram datagram;
    datagram.from = record_in(whole[3]);
    datagram.to = text_in(whole[4], kMaxNameLength);
    datagram.number = number_in(whole[5]);
    datagram.digest = number_in(whole[6]);
    datagram.catching_up = number_in(whole[7], 1) == 1;
    datagram.body = body_in(number_in(whole[2], 255), whole[8]);
    if (!whole[9].is_array() || whole[9].size() > kMaxRecords) throw Malformed{};
    for (const json& object : whole[9]) datagram.records.push_back(record_in(object));
    return datagram;
  } catch (const Malformed&) {
    return DecodeError::malformed;
  }
}

}  // namespace graniterun::fleet
