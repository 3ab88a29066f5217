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

std::string statsd_text(const Figures& figures) {
  std::string text;
  const auto line = [&text](std::string_view name, std::uint64_t value, char type) {
    text.append("gatekeeper.").append(name).append(":").append(std::to_string(value));
    text.append("|").append(1, type).append("\n");
  };
  for (const auto& [name, tally] : figures.metrics.by_class()) {
    line("ok." + safe(name), tally.served, 'c');
    line("shed." + safe(name), tally.rejected, 'c');
    line("errors." + safe(name), tally.failed, 'c');
  }
  line("tries", figures.attempts, 'c');
  line("active", figures.active, 'g');
  line("pool_size", figures.pool_size, 'g');
  line("pool_ejected", figures.pool_ejected, 'g');
  line("config_applied", figures.config_applied, 'c');
  line("config_rejected", figures.config_rejected, 'c');
  for (const Figures::More& figure : figures.more) line(figure.name, figure.value, figure.type);
  return text;
}

}  // namespace graniterun::management
