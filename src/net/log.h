// Log lines on standard error, those under the level left out.
#pragma once

#include <iostream>
#include <string_view>

#include "net/events.h"

namespace graniterun::net {

class Logger {
 public:
  explicit Logger(Level least) : min_level_(least) {}
  void line(Level level, std::string_view text) const {
    constexpr std::string_view kNames[] = {"debug", "info", "warning", "error"};
    if (level >= min_level_) std::cerr << kNames[static_cast<std::size_t>(level)] << ": " << text << '\n';
  }

 private:
  Level min_level_;
};

}  // namespace graniterun::net
