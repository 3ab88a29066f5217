#include "upstream/dialog_tag.h"

#include <sodium.h>

namespace graniterun::upstream {
namespace {

constexpr char kSeparator = '.';
constexpr std::size_t kHashBytes = crypto_generichash_BYTES_MIN;
constexpr std::string_view kPurpose = "graniterun dialog tag of ";

const unsigned char* bytes_of(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

DialogTag::DialogTag(std::string_view identity) {
  const std::string input = std::string(kPurpose).append(identity);
  crypto_generichash(key_.data(), key_.size(), bytes_of(input), input.size(), nullptr, 0);
}

std::string DialogTag::make(std::string_view call_id, std::string_view nonce) const {
  std::string input(call_id);
  input.append(1, '\n').append(nonce);
  std::array<unsigned char, kHashBytes> hash{};
  crypto_generichash(hash.data(), hash.size(), bytes_of(input), input.size(), key_.data(), key_.size());
  std::string hex(2 * kHashBytes + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
  hex.pop_back();
  return std::string(nonce).append(1, kSeparator).append(hex);
}

bool DialogTag::is_own(std::string_view call_id, std::string_view tag) const {
  const std::size_t separator = tag.find(kSeparator);
  if (separator == std::string_view::npos) return false;
  const std::string expected = make(call_id, tag.substr(0, separator));
  return expected == tag;
}

}  // namespace graniterun::upstream
