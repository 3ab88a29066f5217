#include "distribution/ranking.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <utility>

namespace graniterun::distribution {
namespace {

std::uint64_t weight_of(std::string_view name, std::string_view distributor) {
  std::string text = std::to_string(name.size()) + ':';
  text += name;
  text += distributor;
  std::array<unsigned char, 16> hash{};  // the shortest output that crypto_generichash supports
  crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(text.data()),
                     text.size(), nullptr, 0);
  std::uint64_t weight = 0;
  for (std::size_t i = 0; i < 8; ++i) weight = weight << 8 | hash[i];
  return weight;
}

}  // namespace

std::vector<std::uint32_t> rank_distributors(std::string_view name,
                                             const std::vector<std::string>& distributors) {
  std::vector<std::pair<std::uint64_t, std::uint32_t>> by_weight;
  by_weight.reserve(distributors.size());
  for (std::uint32_t i = 0; i < distributors.size(); ++i)
    by_weight.emplace_back(weight_of(name, distributors[i]), i);
  std::sort(by_weight.begin(), by_weight.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  std::vector<std::uint32_t> order;
  order.reserve(by_weight.size());
  for (const auto& [weight, index] : by_weight) order.push_back(index);
  return order;
}

}  // namespace graniterun::distribution
