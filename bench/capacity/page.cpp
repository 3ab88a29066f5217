#include "bench/capacity/page.h"

#include <set>
#include <sstream>

namespace graniterun::capacity {

std::string with_tables(std::string_view page, const Tables& tables) {
  constexpr std::string_view kOpen = "<!-- capacity:";
  constexpr std::string_view kEnd = " -->";
  std::string out;
  std::set<std::string> seen;
  while (true) {
    const auto at = page.find(kOpen);
    if (at == std::string_view::npos) break;
    const auto end = page.find(kEnd, at);
    if (end == std::string_view::npos) throw BadInput("a mark of the page has no end");
    const std::string name(page.substr(at + kOpen.size(), end - at - kOpen.size()));
    const std::string close = "<!-- /capacity:" + name + " -->";
    const auto closed = page.find(close, end);
    const auto next = page.find(kOpen, end);
    if (closed == std::string_view::npos || next < closed)
      throw BadInput("the mark '" + name + "' of the page is not closed");
    const auto table = tables.find(name);
    if (table == tables.end()) throw BadInput("there is no table '" + name + "'");
    if (!seen.insert(name).second) throw BadInput("the mark '" + name + "' stands in the page twice");
    out.append(page.substr(0, end + kEnd.size())).append("\n").append(table->second).append(close);
    page.remove_prefix(closed + close.size());
  }
  out.append(page);
  for (const auto& [name, text] : tables) {
    if (!seen.contains(name)) throw BadInput("the page has no marks for the table '" + name + "'");
  }
  return out;
}

std::optional<std::string> first_difference(std::string_view is, std::string_view should_be) {
  if (is == should_be) return {};
  std::istringstream left{std::string(is)};
  std::istringstream right{std::string(should_be)};
  for (std::size_t number = 1;; ++number) {
    std::string a;
    std::string b;
    const bool more_a = static_cast<bool>(std::getline(left, a));
    const bool more_b = static_cast<bool>(std::getline(right, b));
    if (!more_a && !more_b) return "the pages differ in their ends of lines";
    if (more_a == more_b && a == b) continue;
    return "line " + std::to_string(number) + " is\n  " + (more_a ? a : "(not there)") +
           "\nand is to be\n  " + (more_b ? b : "(not there)");
  }
}

}  // namespace graniterun::capacity
