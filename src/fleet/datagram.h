// Codec of the datagrams between gatekeepers: an authentication tag and a CBOR array, at most 1,200 bytes.
//
//   bytes 0 to 31   tag: HMAC-SHA512-256 (libsodium's crypto_auth) over the bytes from 32 on
//   from byte 32    [version, fleet, kind, from, to, number, digest, flags, body, [record, ...]]
//   record          [name, life, birth, address, incarnation, state, evidence, accuser, flags]
//
// In the code the record's fields are called incarnation (life), start_nonce (birth), refutation
// (incarnation) and suspecting_member (accuser).
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "membership/message.h"

namespace graniterun::fleet {

constexpr std::size_t kMaxDatagramBytes = 1200;
constexpr std::uint64_t kWireVersion = 1;
constexpr std::size_t kKeyBytes = 32;
using Key = std::array<unsigned char, kKeyBytes>;

// Parses the text of a key file: 64 hex digits; white space is ignored. Returns nullopt for any other text.
std::optional<Key> parse_key(std::string_view text);

// Why bytes are not a valid datagram of this fleet.
enum class DecodeError : std::uint8_t { too_long, tag, malformed, version, fleet };
constexpr std::size_t kDecodeErrorCount = static_cast<std::size_t>(DecodeError::fleet) + 1;
std::string_view to_string(DecodeError error);

// Encodes and authenticates a datagram. Trailing records that exceed kMaxDatagramBytes are left out.
std::string encode(const membership::Datagram& datagram, std::string_view fleet, const Key& key);
// Returns the bytes with their authentication tag in front.
std::string prepend_tag(std::string_view bytes, const Key& key);
// Verifies the tag before it parses anything.
std::variant<membership::Datagram, DecodeError> decode(std::string_view bytes, std::string_view fleet,
                                                       const Key& key);

}  // namespace graniterun::fleet
