#pragma once

#include <LibCore/Instant.h>

#include <algorithm>

namespace lycheeseam {

/// Exponential backoff: the delay after a failure doubles up to a limit.
class backoff
{
public:
  backoff(duration aFirst, duration aLongest)
    : mFirst(aFirst)
    , mLongest(aLongest)
    , mNext(aFirst)
  {
  }

  /// Records a failed attempt and delays the next one.
  void Fail(instant aNow)
  {
    mUntil = aNow + mNext;
    mNext = std::min(2 * mNext, mLongest);
  }

  /// Records a successful attempt and resets the delay to the first one.
  void Succeed()
  {
    mNext = mFirst;
    mUntil = {};
  }

  /// True when the next attempt may start.
  [[nodiscard]] bool IsOver(instant aNow) const { return aNow >= mUntil; }

  /// When the next attempt may start.
  [[nodiscard]] instant Until() const { return mUntil; }

private:
  duration mFirst;
  duration mLongest;
  duration mNext;
  instant mUntil{};
};

}
