#pragma once

#include <LibAdmission/SlowStartOptions.h>

#include <algorithm>
#include <optional>

namespace lycheeseam {

/// The share of its window that a backend server gets after a cold start, which
/// grows linearly with time.
class slow_start
{
public:
  explicit slow_start(slow_start_options aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// Begins the ramp: the server restarted with an empty cache.
  void OnColdStart(instant aNow) { mStartedAt = aNow; }

  /// The server's share of a warm server's window, from the initial share to 1.
  [[nodiscard]] double Share(instant aNow) const
  {
    if (!mStartedAt)
      return 1.0;
    double const passed = std::chrono::duration<double>(aNow - *mStartedAt) /
                          std::chrono::duration<double>(mOptions.mRampTime);
    return std::clamp(passed, mOptions.mInitialShare, 1.0);
  }

private:
  slow_start_options mOptions;
  std::optional<instant> mStartedAt;
};

}
