#pragma once

#include "Socket.h"

#include <cstdio>
#include <fstream>
#include <iomanip>
#include <mutex>

namespace review {

/// The case's record.txt: what was sent, answered and run, with the time since
/// the start.
class record
{
public:
  explicit record(std::string const& aPath)
    : mFile(aPath)
  {
    if (!mFile)
      throw setup_error("can't write " + aPath);
  }

  void Write(std::string const& aLine)
  {
    std::lock_guard const lock{ mMutex };
    std::chrono::duration<double> const elapsed = steady::now() - mStart;
    mFile << std::fixed << std::setprecision(3) << std::setw(8)
          << elapsed.count() << "  " << aLine << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
  steady::time_point mStart = steady::now();
};

}
