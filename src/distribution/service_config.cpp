#include "distribution/service_config.h"

#include <sodium.h>

#include <algorithm>

namespace graniterun::distribution {
namespace {

void update_with_number(crypto_generichash_state& state, std::uint64_t number) {
  std::array<unsigned char, 8> bytes{};
  for (unsigned char& byte : bytes) {
    byte = static_cast<unsigned char>(number & 0xff);
    number >>= 8;
  }
  crypto_generichash_update(&state, bytes.data(), bytes.size());
}

// The length comes first, so that no text runs on into the next one.
void update_with_text(crypto_generichash_state& state, std::string_view text) {
  update_with_number(state, text.size());
  crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(text.data()), text.size());
}

int hex_digit_value(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return -1;
}

}  // namespace

Digest digest_of(const Key& key, std::string_view service, Version version, std::string_view content) {
  crypto_generichash_state state;
  crypto_generichash_init(&state, key.data(), key.size(), Digest{}.size());
  update_with_text(state, service);
  update_with_number(state, version);
  update_with_text(state, content);
  Digest digest{};
  crypto_generichash_final(&state, digest.data(), digest.size());
  return digest;
}

bool is_valid_config(const Key& key, const ServiceConfig& config) {
  if (config.id.none() || !is_service_name(config.service)) return false;
  if (config.content.size() > kMaxConfigBytes) return false;
  return digest_of(key, config.service, config.id.version, config.content) == config.id.digest;
}

bool is_service_name(std::string_view name) {
  if (name.empty() || name.size() > kMaxServiceNameLength) return false;
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '-' || c == '_';
  });
}

std::string to_hex(const Digest& digest) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(digest.size() * 2);
  for (const unsigned char byte : digest) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 15];
  }
  return hex;
}

bool parse_digest(std::string_view hex, Digest& out) {
  if (hex.size() != out.size() * 2) return false;
  Digest digest{};
  for (std::size_t i = 0; i < digest.size(); ++i) {
    const int high = hex_digit_value(hex[2 * i]);
    const int low = hex_digit_value(hex[2 * i + 1]);
    if (high < 0 || low < 0) return false;
    digest[i] = static_cast<unsigned char>(high * 16 + low);
  }
  out = digest;
  return true;
}

}  // namespace graniterun::distribution
