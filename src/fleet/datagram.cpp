#include "fleet/datagram.h"

#include <sodium.h>

#include <nlohmann/json.hpp>

namespace graniterun::fleet {
namespace {

using namespace membership;
using nlohmann::json;

static_assert(kKeyBytes == crypto_auth_KEYBYTES);
constexpr std::size_t kTagBytes = crypto_auth_BYTES;
constexpr std::size_t kMaxRecords = 64;

struct Malformed {};

json to_json(const Record& record) {
  return json::array({record.name, record.incarnation, record.start_nonce, record.address, record.refutation,
                      static_cast<unsigned>(record.state), static_cast<unsigned>(record.state_reason),
                      record.suspecting_member, record.handing_over ? 1U : 0U});
}

std::uint64_t get_uint(const json& j, std::uint64_t max = ~std::uint64_t{0}) {
  if (!j.is_number_unsigned() || j.get<std::uint64_t>() > max) throw Malformed{};
  return j.get<std::uint64_t>();
}
std::string get_text(const json& j, std::size_t max_bytes) {
  if (!j.is_string() || j.get_ref<const std::string&>().size() > max_bytes) throw Malformed{};
  return j.get<std::string>();
}
const json& check_array(const json& j, std::size_t size) {
  if (!j.is_array() || j.size() != size) throw Malformed{};
  return j;
}

Record read_record(const json& j) {
  check_array(j, 9);
  Record record;
  record.name = get_text(j[0], kMaxNameLength);
  record.incarnation = get_uint(j[1], ~std::uint64_t{0} >> 1);  // leaves room for increments
  record.start_nonce = get_uint(j[2]);
  record.address = get_text(j[3], kMaxAddressLength);
  record.refutation = static_cast<std::uint32_t>(get_uint(j[4], 0x7fffffff));
  record.state = static_cast<State>(get_uint(j[5], static_cast<unsigned>(State::left)));
  record.state_reason =
      static_cast<StateReason>(get_uint(j[6], static_cast<unsigned>(StateReason::replaced)));
  record.suspecting_member = get_text(j[7], kMaxNameLength);
  record.handing_over = get_uint(j[8], 1) == 1;
  if (record.name.empty() || record.address.empty()) throw Malformed{};
  return record;
}

// Encodes a record that may be missing; null stands for none.
json optional_record(bool has_record, const Record& record) { return has_record ? to_json(record) : json(); }

json body_to_json(const MessageBody& body) {
  return std::visit(
      [](const auto& b) -> json {
        using B = std::decay_t<decltype(b)>;
        if constexpr (std::is_same_v<B, Ping>) {
          return json::array(
              {b.token, b.by_non_member ? 1U : 0U, optional_record(b.has_record, b.receiver_record)});
        } else if constexpr (std::is_same_v<B, Ack>) {
          return json::array({b.token, optional_record(b.has_record, b.receiver_record)});
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

MessageBody read_body(std::uint64_t kind, const json& j) {
  const auto read_optional_record = [](const json& object, bool& has_record, Record& record) {
    has_record = !object.is_null();
    if (has_record) record = read_record(object);
  };
  switch (kind) {
    case 0: {
      check_array(j, 3);
      Ping ping;
      ping.token = get_uint(j[0]);
      ping.by_non_member = get_uint(j[1], 1) == 1;
      read_optional_record(j[2], ping.has_record, ping.receiver_record);
      return ping;
    }
    case 1: {
      check_array(j, 2);
      Ack ack;
      ack.token = get_uint(j[0]);
      read_optional_record(j[1], ack.has_record, ack.receiver_record);
      return ack;
    }
    case 2:
      check_array(j, 3);
      return PingRequest{get_uint(j[0]), get_text(j[1], kMaxNameLength), get_text(j[2], kMaxAddressLength)};
    case 3:
      return RelayedAck{get_uint(check_array(j, 1)[0])};
    case 4:
      return Nack{get_uint(check_array(j, 1)[0])};
    case 5: {
      SyncRequest request;
      for (const json& bucket : check_array(j, kDigestBuckets)) request.buckets.push_back(get_uint(bucket));
      return request;
    }
    case 6:
      check_array(j, 0);
      return Gossip{};
    default:
      throw Malformed{};
  }
}

}  // namespace

std::optional<Key> parse_key(std::string_view text) {
  Key key{};
  std::size_t length = 0;
  if (sodium_hex2bin(key.data(), key.size(), text.data(), text.size(), " \t\r\n", &length, nullptr) != 0 ||
      length != key.size())
    return std::nullopt;
  return key;
}

std::string_view to_string(DecodeError error) {
  constexpr std::string_view kNames[] = {"too_long", "tag", "malformed", "version", "fleet"};
  return kNames[static_cast<std::size_t>(error)];
}

std::string encode(const Datagram& datagram, std::string_view fleet, const Key& key) {
  json records = json::array();
  for (const Record& record : datagram.records) records.push_back(to_json(record));
  json message = json::array({kWireVersion, fleet, datagram.body.index(), to_json(datagram.from), datagram.to,
                              datagram.sequence_number, datagram.digest, datagram.catching_up ? 1U : 0U,
                              body_to_json(datagram.body), std::move(records)});
  std::vector<std::uint8_t> bytes = json::to_cbor(message);
  while (kTagBytes + bytes.size() > kMaxDatagramBytes && !message[9].empty()) {
    message[9].erase(message[9].size() - 1);
    bytes = json::to_cbor(message);
  }
  return prepend_tag({reinterpret_cast<const char*>(bytes.data()), bytes.size()}, key);
}

std::string prepend_tag(std::string_view bytes, const Key& key) {
  std::string text(kTagBytes, '\0');
  text += bytes;
  crypto_auth(reinterpret_cast<unsigned char*>(text.data()),
              reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), key.data());
  return text;
}

std::variant<Datagram, DecodeError> decode(std::string_view bytes, std::string_view fleet, const Key& key) {
  if (bytes.size() > kMaxDatagramBytes) return DecodeError::too_long;
  if (bytes.size() <= kTagBytes) return DecodeError::tag;
  const auto* tag = reinterpret_cast<const unsigned char*>(bytes.data());
  const std::string_view payload = bytes.substr(kTagBytes);
  if (crypto_auth_verify(tag, reinterpret_cast<const unsigned char*>(payload.data()), payload.size(),
                         key.data()) != 0)
    return DecodeError::tag;
  json message;
  try {
    message = json::from_cbor(payload.begin(), payload.end());
  } catch (const json::exception&) {  // some sizes throw even with allow_exceptions=false
    return DecodeError::malformed;
  }
  // The version is the first element in this format and in all later ones.
  if (!message.is_array() || message.empty() || !message[0].is_number_unsigned())
    return DecodeError::malformed;
  if (message[0].get<std::uint64_t>() != kWireVersion) return DecodeError::version;
  try {
    check_array(message, 10);
    if (get_text(message[1], kMaxNameLength) != fleet) return DecodeError::fleet;
    Datagram datagram;
    datagram.from = read_record(message[3]);
    datagram.to = get_text(message[4], kMaxNameLength);
    datagram.sequence_number = get_uint(message[5]);
    datagram.digest = get_uint(message[6]);
    datagram.catching_up = get_uint(message[7], 1) == 1;
    datagram.body = read_body(get_uint(message[2], 255), message[8]);
    if (!message[9].is_array() || message[9].size() > kMaxRecords) throw Malformed{};
    for (const json& object : message[9]) datagram.records.push_back(read_record(object));
    return datagram;
  } catch (const Malformed&) {
    return DecodeError::malformed;
  }
}

}  // namespace graniterun::fleet
