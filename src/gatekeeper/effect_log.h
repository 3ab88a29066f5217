// Log lines at level `debug` for the broker's effects: each attempt, answer, rejection and release of a call
// with its correlation id and reason, so that the timeline of one call can be read from the log.
#pragma once

#include <functional>
#include <string>

#include "core/broker.h"
#include "net/outbox.h"

namespace graniterun {

// Logs the effect if it concerns a call at a server or its caller. `name_of` returns a server's uid.
void log_effect(Time now, const core::Effect& effect, const std::function<std::string(ServerId)>& name_of,
                Outbox& out);

}  // namespace graniterun
