#include "config/documents.h"

#include <nlohmann/json.hpp>

namespace graniterun {
namespace {

using nlohmann::json;

// Objects as parsed; discarded: it is no JSON.
json parse(std::string_view text) { return json::parse(text, nullptr, false); }

// What is wrong with a patch; empty: nothing, and `patch` is what it says.
std::string trouble_with(const std::string& content, json& patch) {
  if (content.size() > distribution::kLargestDocument)
    return "is longer than " + std::to_string(distribution::kLargestDocument) + " bytes";
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

std::string laid_over(std::string_view base, const std::vector<distribution::Document>& documents) {
  if (documents.size() > distribution::kMostSubscribed)
    throw BadConfig("there are more than " + std::to_string(distribution::kMostSubscribed) + " documents");
  json whole = parse(base);
  if (!whole.is_object()) throw BadConfig("the configuration under the documents is no JSON object");
  for (const distribution::Document& document : documents) {
    json patch;
    if (const std::string trouble = trouble_with(document.content, patch); !trouble.empty())
      throw BadConfig("the document of '" + document.service + "', version " +
                      std::to_string(document.stamp.version) + ", " + trouble);
    whole.merge_patch(patch);
  }
  return whole.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace graniterun
