// The call classes that the settings name, and the table that assigns each a ClassIndex. Open calls keep
// their index when the settings change. Pure: no I/O, no clock.
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
  ClassIndex index{};
  CallClass terms{};
};

// The classes that the active settings name. Immutable once constructed.
struct Classes {
  std::vector<NamedClass> named{};  // not empty
  // The class of that name, or null.
  const NamedClass* find(std::string_view name) const;
  const NamedClass& highest_weight() const;
  const NamedClass& lowest_weight() const;
};

// The class table of the Controller: the classes that the settings name and those that open calls still use.
struct ClassTable {
  static constexpr std::size_t kMaxClasses = 128;
  std::vector<CallClass> by_index{};
  std::shared_ptr<const Classes> classes = std::make_shared<const Classes>();
};

// Returns the table for settings that name `names` with `terms` (one for each name). A class with an
// unchanged name and unchanged terms keeps its index; every other class gets a free index or a new one. An
// index is free if it is neither kept by a named class nor `in_use` by open calls. `in_use` is by index;
// indexes beyond its end are not in use. Returns nothing if the table would exceed kMaxClasses.
std::optional<ClassTable> assign_class_indexes(const ClassTable& before,
                                               const std::vector<std::string>& names,
                                               const std::vector<CallClass>& terms,
                                               const std::vector<bool>& in_use);

}  // namespace graniterun::core
