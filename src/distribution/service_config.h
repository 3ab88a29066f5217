// A document of configuration: what one service's gatekeepers have in force, under a number that only grows.
//
// Content is the text of a JSON merge patch (RFC 7396), written without white space and with sorted keys, so
// that equal patches are equal bytes. It is taken by its bytes: nothing here reads it.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "graniterun/controller.h"

namespace graniterun::distribution {

constexpr std::size_t kMaxServiceNameLength = 64;   // bytes of a service's name; 1 at least
constexpr std::size_t kMaxConfigBytes = 12 * 1024;  // bytes of a content, so that a document fits one line
constexpr std::size_t kMaxServices = 4096;          // that a distributor holds documents of
constexpr std::size_t kMaxSubscribedServices = 64;  // services of one gatekeeper

// A number of a service's documents; 0: none. The first guess is Unix time in milliseconds, and no more than
// a guess: numbers of one service are compared with each other only.
using Version = std::uint64_t;
// 32 bytes shared by all distributors, gatekeepers and operators of a fleet.
using Key = std::array<unsigned char, 32>;
// Keyed BLAKE2b (libsodium's crypto_generichash) over service, version and content: it tells a content that
// was changed, and one that is told under another number or service.
using Digest = std::array<unsigned char, 32>;

// Which document of a service.
struct VersionId {
  Version version{};
  Digest digest{};
  auto operator<=>(const VersionId&) const = default;
  bool none() const { return version == 0; }
};

struct ServiceConfig {
  std::string service{};
  VersionId id{};
  std::string content{};
  bool operator==(const ServiceConfig&) const = default;
};

// Cost: linear in the content. Needs no initialisation of libsodium.
Digest digest_of(const Key& key, std::string_view service, Version version, std::string_view content);
// Its digest is its own, its name and content are within their bounds, its number is not 0.
bool is_sound(const Key& key, const ServiceConfig& document);
bool is_service_name(std::string_view name);  // 1 to 64 of a-z, A-Z, 0-9, '.', '-', '_'

std::string to_hex(const Digest& digest);  // 64 digits
bool parse_digest(std::string_view hex, Digest& out);

}  // namespace graniterun::distribution
