#include "management/telemetry.h"

#include <string_view>

namespace graniterun::management {
namespace {

// Replaces characters that a name may not contain: delimiters of the StatsD format, spaces and non-ASCII.
std::string sanitize_name(std::string_view name) {
  std::string text(name);
  for (char& c : text) {
    if (c <= ' ' || c > '~' || c == ':' || c == '|' || c == '@') c = '_';
  }
  return text;
}

}  // namespace

std::string statsd_text(const Figures& snapshot) {
  std::string text;
  const auto line = [&text](std::string_view name, std::uint64_t value, char type) {
    text.append("gatekeeper.").append(name).append(":").append(std::to_string(value));
    text.append("|").append(1, type).append("\n");
  };
  for (const auto& [name, counts] : snapshot.metrics.by_class()) {
    line("ok." + sanitize_name(name), counts.served, 'c');
    line("shed." + sanitize_name(name), counts.rejected, 'c');
    line("errors." + sanitize_name(name), counts.failed, 'c');
  }
  line("tries", snapshot.attempts, 'c');
  line("active", snapshot.active, 'g');
  line("pool_size", snapshot.pool_size, 'g');
  line("pool_ejected", snapshot.pool_ejected, 'g');
  line("config_applied", snapshot.config_applied, 'c');
  line("config_rejected", snapshot.config_rejected, 'c');
  for (const Figures::Metric& metric : snapshot.additional) line(metric.name, metric.value, metric.type);
  return text;
}

}  // namespace graniterun::management
