#pragma once

#include <LibCore/Instant.h>

#include <algorithm>

namespace lycheeseam {

/// The pause after failures, doubled with each one up to a bound.
class backoff
{
public:
  backoff(duration aFirst, duration aLongest)
    : mFirst(aFirst)
    , mLongest(aLongest)
    , mNext(aFirst)
  {
  }

  /// A try has failed: the next one waits.
  void Fail(instant aNow)
  {
    mUntil = aNow + mNext;
    mNext = std::min(2 * mNext, mLongest);
  }

  /// A try has succeeded: the next pause is the first one again.
  void Succeed()
  {
    mNext = mFirst;
    mUntil = {};
  }

  /// True when the next try may start.
  [[nodiscard]] bool IsOver(instant aNow) const { return aNow >= mUntil; }

  /// When the next try may start.
  [[nodiscard]] instant Until() const { return mUntil; }

private:
  duration mFirst;
  duration mLongest;
  duration mNext;
  instant mUntil{};
};

}
