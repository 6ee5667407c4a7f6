#pragma once

#include <LibConfig/WorkspaceRow.h>
#include <LibCore/Instant.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

/// A single token bucket for the whole fleet, which no schedule may overdraw.
class reference_bucket
{
public:
  explicit reference_bucket(workspace_row const& aRow)
    : mRate(static_cast<double>(aRow.mRate))
    , mBurst(static_cast<double>(aRow.mBurst))
    , mLevel(mBurst)
  {
  }

  void SetLimits(instant aNow, double aRate, double aBurst)
  {
    Advance(aNow);
    mRate = aRate;
    mBurst = aBurst;
    mLevel = std::min(mLevel, mBurst);
  }

  void Charge(instant aNow, token_count aTokens)
  {
    Advance(aNow);
    mLevel -= static_cast<double>(aTokens);
    mLowest = std::min(mLowest, mLevel);
  }

  void Refund(instant aNow, token_count aTokens)
  {
    Advance(aNow);
    mLevel = std::min(mBurst, mLevel + static_cast<double>(aTokens));
  }

  /// The lowest level so far, in tokens; below zero, the limit was exceeded.
  [[nodiscard]] double Lowest() const noexcept { return mLowest; }

private:
  void Advance(instant aNow)
  {
    std::chrono::duration<double> const elapsed = aNow - mAt;
    mLevel = std::min(mBurst, mLevel + elapsed.count() * mRate);
    mAt = aNow;
  }

  double mRate;
  double mBurst;
  double mLevel;
  double mLowest = 0;
  instant mAt{};
};

}
