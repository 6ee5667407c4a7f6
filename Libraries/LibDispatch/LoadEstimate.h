#pragma once

#include <LibCore/Instant.h>

namespace lycheeseam {

/// What an instance knows of a backend server's load now, from its own requests
/// and from what the server reported.
struct load_estimate
{
  /// Requests of all instances that run or wait on the server.
  double mRequests = 0;
  /// Those of them that wait.
  double mWaiting = 0;
  /// Tokens of their prompts and expected answers.
  double mTokens = 0;
  /// How long work takes now, relative to the server's usual time; 1 is usual.
  double mSlowdown = 1;
  /// The server's usual speed, relative to the mean of its pool.
  double mSpeed = 1;
  /// The age of the newest report; duration::max() without one that counts.
  duration mAge = duration::max();

  /// True when the estimate rests on a report, not on own requests alone.
  [[nodiscard]] bool IsReported() const noexcept
  {
    return mAge != duration::max();
  }
};

}
