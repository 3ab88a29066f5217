// Adds the runtime's counters to a Counters table under their metric names.
#pragma once

#include "core/counters.h"
#include "net/runtime.h"

namespace graniterun::net {

inline void add_to(Counters& all, const RuntimeCounters& counters) {
  all.add("net.bytes_in", counters.bytes_in);
  all.add("net.bytes_out", counters.bytes_out);
  all.add("net.accepted", counters.accepted);
  all.add("net.turned_away", counters.rejected);
  all.add("net.held_at_the_door", counters.accept_paused);
  all.add("net.no_descriptor", counters.no_descriptor);
  all.add("net.recalled", counters.withdrawn);
  all.add("net.overflowed", counters.overflowed);
  all.add("net.counted_written", counters.counted_written);
  all.add("net.timers", counters.timers);
  all.add("net.timers_over_5ms_late", counters.timers_late_5ms);
  all.add("net.timers_over_20ms_late", counters.timers_late_20ms);
  const auto latest = std::chrono::duration_cast<std::chrono::microseconds>(counters.latest_timer);
  all.add("net.latest_timer_us", static_cast<std::uint64_t>(latest.count()));
}

}  // namespace graniterun::net
