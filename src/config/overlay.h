// Documents of configuration laid over the start configuration's text. Pure.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "distribution/service_config.h"

namespace graniterun {

// How deep a document's objects and lists may stand in each other, as where it is published: what reads and
// writes them goes one call deeper with each.
constexpr int kDeepestDocument = 64;

// The text that read_platform_config is to read: `base`, with each document's JSON merge patch (RFC 7396)
// laid over what came before it, in their order. Throws ConfigError where the base or a document is no JSON
// object, a document sets anything but `settings` and `journal`, is longer than kLargestDocument or deeper
// than kDeepestDocument, or there are more than kMaxSubscribedServices. Cost: linear in the texts.
std::string with_overlay(std::string_view base, const std::vector<distribution::ServiceConfig>& documents);

}  // namespace graniterun
