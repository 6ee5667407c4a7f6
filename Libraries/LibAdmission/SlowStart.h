#pragma once

#include <LibAdmission/SlowStartOptions.h>

#include <algorithm>
#include <optional>

namespace lycheeseam {

/// The growing share of work that a backend server takes after a cold start.
class slow_start
{
public:
  explicit slow_start(slow_start_options aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// The server came back with nothing cached.
  void OnColdStart(instant aNow) { mStartedAt = aNow; }

  /// Its share of a warm server's window, from the first share up to 1.
  [[nodiscard]] double Share(instant aNow) const
  {
    if (!mStartedAt)
      return 1.0;
    double const passed = std::chrono::duration<double>(aNow - *mStartedAt) /
                          std::chrono::duration<double>(mOptions.mRamp);
    return std::clamp(passed, mOptions.mFirstShare, 1.0);
  }

private:
  slow_start_options mOptions;
  std::optional<instant> mStartedAt;
};

}
