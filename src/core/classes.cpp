#include "core/classes.h"

#include <algorithm>

namespace graniterun::core {
namespace {

bool has_lower_weight(const NamedClass& left, const NamedClass& right) {
  return left.terms.priority_weight < right.terms.priority_weight;
}

}  // namespace

const NamedClass* Classes::find(std::string_view name) const {
  const auto it =
      std::find_if(named.begin(), named.end(), [&](const NamedClass& c) { return c.name == name; });
  return it == named.end() ? nullptr : &*it;
}
const NamedClass& Classes::highest_weight() const {
  return *std::max_element(named.begin(), named.end(), has_lower_weight);
}
const NamedClass& Classes::lowest_weight() const {
  return *std::min_element(named.begin(), named.end(), has_lower_weight);
}

std::optional<ClassTable> assign_class_indexes(const ClassTable& before,
                                               const std::vector<std::string>& names,
                                               const std::vector<CallClass>& terms,
                                               const std::vector<bool>& in_use) {
  ClassTable after;
  after.by_index = before.by_index;
  Classes classes;
  std::vector<bool> taken(before.by_index.size());
  for (std::size_t i = 0; i < taken.size(); ++i) taken[i] = i < in_use.size() && in_use[i];
  std::vector<std::optional<ClassIndex>> indexes(names.size());
  for (std::size_t i = 0; i < names.size(); ++i) {
    const NamedClass* previous = before.classes->find(names[i]);
    if (previous == nullptr || !(previous->terms == terms[i])) continue;
    indexes[i] = previous->index;
    taken[previous->index] = true;
  }
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (!indexes[i]) {
      const auto free = std::find(taken.begin(), taken.end(), false);
      indexes[i] = static_cast<ClassIndex>(free - taken.begin());
      if (free == taken.end()) taken.push_back(true);
      taken[*indexes[i]] = true;
    }
    if (*indexes[i] >= after.by_index.size()) after.by_index.resize(*indexes[i] + 1);
    after.by_index[*indexes[i]] = terms[i];
    classes.named.push_back({names[i], *indexes[i], terms[i]});
  }
  // Free entries are cleared, so that no decision is based on a class that is no longer used.
  for (std::size_t i = 0; i < taken.size(); ++i) {
    if (!taken[i]) after.by_index[i] = CallClass{};
  }
  if (after.by_index.size() > ClassTable::kMaxClasses) return std::nullopt;
  after.classes = std::make_shared<const Classes>(std::move(classes));
  return after;
}

}  // namespace graniterun::core
