#include "management/telemetry.h"

#include <string_view>

namespace graniterun::management {
namespace {

// What parts a line's name from its value and type may not stand in a name.
std::string safe(std::string_view name) {
  std::string text(name);
  for (char& c : text) {
    if (c <= ' ' || c > '~' || c == ':' || c == '|' || c == '@') c = '_';
  }
  return text;
}

}  // namespace

std::string statsd_text(const Figures& f) {
  std::string text;
  const auto line = [&text](std::string_view name, std::uint64_t value, char type) {
    text.append("gatekeeper.").append(name).append(":").append(std::to_string(value));
    text.append("|").append(1, type).append("\n");
  };
  for (const auto& [name, tally] : f.metrics.by_class()) {
    line("ok." + safe(name), tally.served, 'c');
    line("shed." + safe(name), tally.rejected, 'c');
    line("errors." + safe(name), tally.failed, 'c');
  }
  line("tries", f.attempts, 'c');
  line("active", f.active, 'g');
  line("pool_size", f.pool_size, 'g');
  line("pool_ejected", f.pool_ejected, 'g');
  line("config_applied", f.config_applied, 'c');
  line("config_rejected", f.config_rejected, 'c');
  for (const Figures::More& m : f.more) line(m.name, m.value, m.type);
  return text;
}

}  // namespace graniterun::management
