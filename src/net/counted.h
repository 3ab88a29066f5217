// The runtime's counters by name, as the programs tell them.
#pragma once

#include "core/counters.h"
#include "net/runtime.h"

namespace graniterun::net {

inline void add_to(Counters& all, const RuntimeCounters& c) {
  all.add("net.bytes_in", c.bytes_in);
  all.add("net.bytes_out", c.bytes_out);
  all.add("net.accepted", c.accepted);
  all.add("net.turned_away", c.rejected);
  all.add("net.held_at_the_door", c.accept_paused);
  all.add("net.no_descriptor", c.no_descriptor);
  all.add("net.recalled", c.withdrawn);
  all.add("net.overflowed", c.overflowed);
  all.add("net.counted_written", c.counted_written);
  all.add("net.timers", c.timers);
  all.add("net.timers_over_5ms_late", c.timers_late_5ms);
  all.add("net.timers_over_20ms_late", c.timers_late_20ms);
  const auto latest = std::chrono::duration_cast<std::chrono::microseconds>(c.latest_timer);
  all.add("net.latest_timer_us", static_cast<std::uint64_t>(latest.count()));
}

}  // namespace graniterun::net
