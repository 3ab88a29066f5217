#include "bench/capacity/page.h"

#include <set>
#include <sstream>

namespace graniterun::capacity {

std::string replace_tables(std::string_view page, const Tables& tables) {
  constexpr std::string_view kOpen = "<!-- capacity:";
  constexpr std::string_view kEnd = " -->";
  std::string out;
  std::set<std::string> seen;
  while (true) {
    const auto at = page.find(kOpen);
    if (at == std::string_view::npos) break;
    const auto end = page.find(kEnd, at);
    if (end == std::string_view::npos) throw BadInput("a marker of the page is not terminated");
    const std::string name(page.substr(at + kOpen.size(), end - at - kOpen.size()));
    const std::string close = "<!-- /capacity:" + name + " -->";
    const auto closed = page.find(close, end);
    const auto next = page.find(kOpen, end);
    if (closed == std::string_view::npos || next < closed)
      throw BadInput("the marker '" + name + "' of the page is not closed");
    const auto table = tables.find(name);
    if (table == tables.end()) throw BadInput("unknown table '" + name + "'");
    if (!seen.insert(name).second) throw BadInput("the marker '" + name + "' appears twice in the page");
    out.append(page.substr(0, end + kEnd.size())).append("\n").append(table->second).append(close);
    page.remove_prefix(closed + close.size());
  }
  out.append(page);
  for (const auto& [name, text] : tables) {
    if (!seen.contains(name)) throw BadInput("the page has no markers for the table '" + name + "'");
  }
  return out;
}

std::optional<std::string> first_difference(std::string_view actual, std::string_view expected) {
  if (actual == expected) return {};
  std::istringstream left{std::string(actual)};
  std::istringstream right{std::string(expected)};
  for (std::size_t number = 1;; ++number) {
    std::string a;
    std::string b;
    const bool more_a = static_cast<bool>(std::getline(left, a));
    const bool more_b = static_cast<bool>(std::getline(right, b));
    if (!more_a && !more_b) return "the pages differ only in their line endings";
    if (more_a == more_b && a == b) continue;
    return "line " + std::to_string(number) + " is\n  " + (more_a ? a : "(missing)") + "\nexpected\n  " +
           (more_b ? b : "(missing)");
  }
}

}  // namespace graniterun::capacity
