#pragma once

#include <LibCore/Instant.h>

#include <deque>
#include <utility>

namespace lycheeseam::standin {

/// A value that is read with a lag, as a stale report shows it. Its history is
/// kept for as long as the lag needs.
template<typename Value>
class lagged
{
public:
  /// Sets the minimum age of the values that Read returns.
  void SetLag(duration aLag) { mLag = aLag; }

  /// Records the current value; an unchanged value adds no entry.
  void Record(instant aNow, Value aValue)
  {
    DropSuperseded(aNow);
    if (mHistory.empty() || !(mHistory.back().mValue == aValue))
      mHistory.push_back(entry{ aNow, std::move(aValue) });
  }

  /// The value as it was one lag ago, or the oldest known.
  [[nodiscard]] Value Read(instant aNow)
  {
    DropSuperseded(aNow);
    return mHistory.empty() ? Value{} : mHistory.front().mValue;
  }

private:
  struct entry
  {
    instant mSince;
    Value mValue;
  };

  void DropSuperseded(instant aNow)
  {
    while (mHistory.size() > 1 && mHistory[1].mSince + mLag <= aNow)
      mHistory.pop_front();
  }

  duration mLag{};
  std::deque<entry> mHistory;
};

}
