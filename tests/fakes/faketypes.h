#ifndef CELERYBEAM_TESTS_FAKES_FAKETYPES_H
#define CELERYBEAM_TESTS_FAKES_FAKETYPES_H

#include <chrono>
#include <cstdlib>
#include <functional>

namespace celerybeam::fakes {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// Exit status of a stand-in that was told to crash.
constexpr int CrashStatus = 70;

/// What a stand-in does to crash; tests that run it in their own process put
/// another in its place.
using CrashHook = std::function<void()>;

inline void crashProcess() { std::_Exit(CrashStatus); }

} // namespace celerybeam::fakes

#endif
