// A service configuration: the JSON merge patch (RFC 7396) that the gatekeepers of one service apply, under a
// version that only grows and a keyed digest.
//
// The content is written without white space and with sorted keys, so that equal patches are equal bytes. It
// is opaque here: nothing in this file parses it.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "graniterun/controller.h"

namespace graniterun::distribution {

constexpr std::size_t kMaxServiceNameLength = 64;   // bytes; a name has at least 1
constexpr std::size_t kMaxConfigBytes = 12 * 1024;  // of content; a configuration fits one protocol line
constexpr std::size_t kMaxServices = 4096;          // services of which a distributor stores configurations
constexpr std::size_t kMaxSubscribedServices = 64;  // services that one gatekeeper subscribes to

// Version of a service's configuration; 0 means none. The first candidate for a new version is Unix time in
// milliseconds, but it is only a hint: versions are compared with others of the same service, never with a
// clock.
using Version = std::uint64_t;
// 32 bytes shared by all distributors, gatekeepers and operators of a fleet.
using Key = std::array<unsigned char, 32>;
// Keyed BLAKE2b (libsodium's crypto_generichash) over service, version and content. It detects changed
// content and content that is presented under another version or service.
using Digest = std::array<unsigned char, 32>;

// Identifies one configuration of a service.
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

// Cost: linear in the length of `content`. libsodium need not be initialised.
Digest digest_of(const Key& key, std::string_view service, Version version, std::string_view content);
// Whether the digest matches, the service's name and the content are within their bounds, and the version is
// not 0.
bool is_valid_config(const Key& key, const ServiceConfig& config);
bool is_service_name(std::string_view name);  // 1 to 64 characters of a-z, A-Z, 0-9, '.', '-', '_'

std::string to_hex(const Digest& digest);  // 64 lower-case digits
// Reads what to_hex writes. Returns false, with `out` unchanged, for any other text.
bool parse_digest(std::string_view hex, Digest& out);

}  // namespace graniterun::distribution
