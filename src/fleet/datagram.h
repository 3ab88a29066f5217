// What gatekeepers say to each other, as bytes: a keyed tag and a CBOR array, 1,200 bytes at most.
//
//   bytes 0 to 31   tag: HMAC-SHA512-256 (libsodium's crypto_auth) over all that follows
//   from byte 32    [version, fleet, kind, from, to, number, digest, flags, body, [record, ...]]
//   record          [name, life, birth, address, incarnation, state, evidence, accuser, flags]
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "membership/message.h"

namespace graniterun::fleet {

constexpr std::size_t kMaxDatagramBytes = 1200;
constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kKeyBytes = 32;
using Key = std::array<unsigned char, kKeyBytes>;

// The key in a file's text: 64 hex digits, white space around them passed over. None: it holds something
// else.
std::optional<Key> key_in(std::string_view text);

// Why bytes are no datagram of this fleet.
enum class DecodeError : std::uint8_t { too_long, tag, malformed, version, fleet };
constexpr std::size_t kDecodeErrors = static_cast<std::size_t>(DecodeError::fleet) + 1;
std::string_view to_string(DecodeError refusal);

// Records that make it too long are left out, from the end.
std::string encode(const membership::Datagram& datagram, std::string_view fleet, const Key& key);
// Any bytes with their tag before them.
std::string sealed(std::string_view bytes, const Key& key);
// The tag is looked at before anything else is read.
std::variant<membership::Datagram, DecodeError> decode(std::string_view bytes, std::string_view fleet,
                                                       const Key& key);

}  // namespace graniterun::fleet
