// Assertions that are active in every build type, for tests without GoogleTest.
#pragma once

#include <cstdlib>
#include <iostream>

#define CHECK(condition)                                                                    \
  do {                                                                                      \
    if (!(condition)) {                                                                     \
      std::cerr << __FILE__ << ':' << __LINE__ << ": " << #condition << " does not hold\n"; \
      std::abort();                                                                         \
    }                                                                                       \
  } while (false)

// A single call, so that the operands may refer to temporaries of the full expression.
#define CHECK_EQ(left, right) graniterun::test::check_eq((left), (right), #left, __FILE__, __LINE__)

namespace graniterun::test {

template <class Left, class Right>
void check_eq(const Left& left, const Right& right, const char* what, const char* file, int line) {
  if (left == right) return;
  std::cerr << file << ':' << line << ": " << what << " is " << left << ", not " << right << '\n';
  std::abort();
}

}  // namespace graniterun::test
