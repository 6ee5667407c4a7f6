#pragma once

#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <string>

namespace review {

/// Writes record.txt: what was sent, answered and run, with milliseconds since
/// the start.
class record
{
public:
  explicit record(std::string const& aPath)
    : mFile(aPath)
  {
  }

  void Line(std::string const& aText)
  {
    std::lock_guard const lock{ mMutex };
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f  ", Seconds());
    mFile << time << aText << std::endl;
  }

  [[nodiscard]] double Seconds() const
  {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         mStartedAt)
      .count();
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
  std::chrono::steady_clock::time_point mStartedAt =
    std::chrono::steady_clock::now();
};

}
