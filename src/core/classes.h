// The classes of calls that the settings name, each at a place of a table that open calls keep. Pure.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "graniterun/controller.h"

namespace graniterun::core {

struct NamedClass {
  std::string name{};
  ClassIndex place{};
  CallClass terms{};
};

// Those that the settings in force name. Never changed once made.
struct Classes {
  std::vector<NamedClass> named{};  // not empty
  const NamedClass* find(std::string_view name) const;
  const NamedClass& highest_weight() const;
  const NamedClass& lowest_weight() const;
};

// The table that the decisions work on: the classes named, and those that open calls came with.
struct ClassTable {
  static constexpr std::size_t kMaxClasses = 128;
  std::vector<CallClass> places{};
  std::shared_ptr<const Classes> classes = std::make_shared<const Classes>();
};

// The table after the settings have changed to `names` with `terms` (one each). A class of the same name and
// terms keeps its place; every other gets one that is free, or a new one. Free is what is neither named any
// more nor `in_use` by open calls (by place; what is missing there is not). None: there would be more than
// kMost.
std::optional<ClassTable> assign_places(const ClassTable& before, const std::vector<std::string>& names,
                                        const std::vector<CallClass>& terms, const std::vector<bool>& in_use);

}  // namespace graniterun::core
