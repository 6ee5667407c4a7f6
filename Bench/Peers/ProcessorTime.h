#pragma once

#include <chrono>

namespace lycheeseam::bench {

/// The processor time that this process has used, system calls included.
std::chrono::nanoseconds
ProcessorTime();

/// The processor time of one call of aWork, in microseconds, averaged
/// over the calls within at least 50 ms.
template<typename Work>
double
MicrosecondsPerCall(Work aWork)
{
  constexpr std::chrono::milliseconds kMinimumTime{ 50 };
  std::chrono::nanoseconds const start = ProcessorTime();
  std::chrono::nanoseconds used{ 0 };
  int calls = 0;
  while (used < kMinimumTime) {
    aWork();
    ++calls;
    used = ProcessorTime() - start;
  }
  return std::chrono::duration<double, std::micro>{ used }.count() / calls;
}

}
