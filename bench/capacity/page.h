// Replaces the tables of docs/CAPACITY.md, each the text between `<!-- capacity:NAME -->` and
// `<!-- /capacity:NAME -->`, and compares pages. No I/O.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "bench/capacity/slopes.h"

namespace graniterun::capacity {

using Tables = std::map<std::string, std::string>;  // name -> its lines, each ending in a newline

// Returns the page with every table replaced and all other text unchanged. Throws BadInput if a marker is not
// closed, appears twice or names an unknown table, or if a table has no markers.
std::string replace_tables(std::string_view page, const Tables& tables);

// Describes the first line in which two pages differ; none if they are equal.
std::optional<std::string> first_difference(std::string_view actual, std::string_view expected);

}  // namespace graniterun::capacity
