// Writes log lines to standard error; lines below the minimum level are left out.
#pragma once

#include <iostream>
#include <string_view>

#include "net/events.h"

namespace graniterun::net {

class Logger {
 public:
  explicit Logger(Level min_level) : min_level_(min_level) {}
  void line(Level level, std::string_view text) const {
    constexpr std::string_view kNames[] = {"debug", "info", "warning", "error"};
    if (level >= min_level_) std::cerr << kNames[static_cast<std::size_t>(level)] << ": " << text << '\n';
  }

 private:
  Level min_level_;
};

}  // namespace graniterun::net
