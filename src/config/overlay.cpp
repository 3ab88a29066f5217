#include "config/overlay.h"

#include <nlohmann/json.hpp>

#include "codec/bounded_json.h"

namespace graniterun {
namespace {

using nlohmann::json;

// Parses without exceptions; invalid JSON gives a discarded value.
json parse(std::string_view text) { return json::parse(text, nullptr, false); }

// Parses and checks a service configuration's content. Returns the error text, or an empty string and the
// merge patch in `patch`.
std::string find_error(const std::string& content, json& patch) {
  if (content.size() > distribution::kMaxConfigBytes)
    return "is longer than " + std::to_string(distribution::kMaxConfigBytes) + " bytes";
  ParsedJson parsed = parse_bounded_json(content);
  if (parsed.too_deep) return "is deeper than " + std::to_string(kMaxJsonDepth) + " objects and lists";
  patch = std::move(parsed.value);
  if (!patch.is_object()) return "is no JSON object";
  for (const auto& [key, value] : patch.items()) {
    if (key != "settings" && key != "journal")
      return "sets '" + key.substr(0, 64) + "': only 'settings' and 'journal' may be set";
  }
  return {};
}

}  // namespace

std::string apply_service_configs(std::string_view base,
                                  const std::vector<distribution::ServiceConfig>& configs) {
  if (configs.size() > distribution::kMaxSubscribedServices)
    throw ConfigError("there are more than " + std::to_string(distribution::kMaxSubscribedServices) +
                      " documents");
  json merged = parse(base);
  if (!merged.is_object()) throw ConfigError("the configuration under the documents is no JSON object");
  for (const distribution::ServiceConfig& config : configs) {
    json patch;
    if (const std::string error = find_error(config.content, patch); !error.empty())
      throw ConfigError("the document of '" + config.service + "', version " +
                        std::to_string(config.id.version) + ", " + error);
    merged.merge_patch(patch);
  }
  return merged.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace graniterun
