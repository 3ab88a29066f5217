#include "gatekeeper/effect_log.h"

#include "core/names.h"
#include "core/overloaded.h"

namespace graniterun {
namespace {

std::string attempt_fields(const core::Request& request, int attempt) {
  return " call=" + request.correlation_id + " attempt=" + std::to_string(attempt);
}

std::string describe(const core::RequestAnswered& answered) {
  std::string text = "request_answered call=" + answered.request->correlation_id;
  text += answered.served ? " served=1" : " served=0";
  if (answered.reject_reason) text.append(" reason=").append(core::to_string(*answered.reject_reason));
  return text + " attempts=" + std::to_string(answered.attempts.size());
}

}  // namespace

void log_effect(Time now, const core::Effect& effect, const std::function<std::string(ServerId)>& name_of,
                Outbox& out) {
  const std::string text = std::visit(
      Overloaded{
          [&](const core::StartAttempt& e) {
            return "attempt_started" + attempt_fields(*e.request, e.attempt) + " server=" + name_of(e.server);
          },
          [](const core::AbandonAttempt& e) {
            return "attempt_abandoned" + attempt_fields(*e.request, e.attempt);
          },
          [](const core::ReleaseServer& e) {
            return "server_released" + attempt_fields(*e.request, e.attempt) +
                   " cause=" + std::to_string(e.cause);
          },
          [](const core::ForwardRelease& e) {
            return "release_forwarded call=" + e.correlation_id + " cause=" + std::to_string(e.cause);
          },
          [](const core::RequestAnswered& e) { return describe(e); },
          [](const auto&) { return std::string(); },
      },
      effect);
  if (!text.empty()) out.debug(now, [&]() -> const std::string& { return text; });
}

}  // namespace graniterun
