#include "config/overlay.h"

#include <nlohmann/json.hpp>

namespace graniterun {
namespace {

using nlohmann::json;

// Objects as parsed; discarded: it is no JSON.
json parse(std::string_view text) { return json::parse(text, nullptr, false); }

// What is wrong with a patch; empty: nothing, and `patch` is what it says.
std::string find_error(const std::string& content, json& patch) {
  if (content.size() > distribution::kMaxConfigBytes)
    return "is longer than " + std::to_string(distribution::kMaxConfigBytes) + " bytes";
  bool too_deep = false;
  const auto looks = [&too_deep](int depth, json::parse_event_t, json&) {
    too_deep = too_deep || depth > kDeepestDocument;
    return !too_deep;  // what is deeper is not kept
  };
  patch = json::parse(content, looks, false);
  if (too_deep) return "is deeper than " + std::to_string(kDeepestDocument) + " objects and lists";
  if (!patch.is_object()) return "is no JSON object";
  for (const auto& [key, value] : patch.items()) {
    if (key != "settings" && key != "journal")
      return "sets '" + key.substr(0, 64) + "': only 'settings' and 'journal' may be set";
  }
  return {};
}

}  // namespace

std::string with_overlay(std::string_view base, const std::vector<distribution::ServiceConfig>& documents) {
  if (documents.size() > distribution::kMaxSubscribedServices)
    throw ConfigError("there are more than " + std::to_string(distribution::kMaxSubscribedServices) +
                      " documents");
  json whole = parse(base);
  if (!whole.is_object()) throw ConfigError("the configuration under the documents is no JSON object");
  for (const distribution::ServiceConfig& document : documents) {
    json patch;
    if (const std::string trouble = find_error(document.content, patch); !trouble.empty())
      throw ConfigError("the document of '" + document.service + "', version " +
                        std::to_string(document.id.version) + ", " + trouble);
    whole.merge_patch(patch);
  }
  return whole.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace graniterun
