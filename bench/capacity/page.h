// The page's tables: what stands between `<!-- capacity:NAME -->` and `<!-- /capacity:NAME -->`. No I/O.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "bench/capacity/slopes.h"

namespace graniterun::capacity {

using Tables = std::map<std::string, std::string>;  // name -> its lines, each with its end

// The page with every table in place; all else stays as it is. Throws BadInput where a mark has no end,
// stands twice, names no table, or where a table has no marks.
std::string with_tables(std::string_view page, const Tables& tables);

// Where two pages differ first: a line for people. None: they are the same.
std::optional<std::string> first_difference(std::string_view is, std::string_view should_be);

}  // namespace graniterun::capacity
