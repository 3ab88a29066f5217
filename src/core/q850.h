// Cause values of ITU-T Q.850 that the front ends and the connections to setup servers use.
#pragma once

namespace graniterun {

constexpr int kCauseNormalClearing = 16;
constexpr int kCauseUserBusy = 17;
constexpr int kCauseTemporaryFailure = 41;
constexpr int kCauseCongestion = 42;
constexpr int kCauseInvalidMessage = 95;

}  // namespace graniterun
