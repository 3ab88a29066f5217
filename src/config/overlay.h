// Applies service configurations, as JSON merge patches, to the text of the start configuration. Pure
// functions.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "distribution/service_config.h"

namespace graniterun {

// Returns the text for read_platform_config: `base` with each service configuration's JSON merge patch (RFC
// 7396) applied in order. Throws ConfigError if the base or a configuration is no JSON object, if a
// configuration sets anything but `settings` and `journal`, is longer than kMaxConfigBytes or nested deeper
// than kMaxJsonDepth, or if there are more than kMaxSubscribedServices. Cost: linear in the texts.
std::string apply_service_configs(std::string_view base,
                                  const std::vector<distribution::ServiceConfig>& configs);

}  // namespace graniterun
