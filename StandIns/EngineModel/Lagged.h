#pragma once

#include <LibCore/Instant.h>

#include <deque>
#include <utility>

namespace lycheeseam::standin {

/// A value that is told with a lag: its history is kept for that long.
template<typename Value>
class lagged
{
public:
  /// How old a told value is at least.
  void SetLag(duration aLag) { mLag = aLag; }

  /// Notes the value of now; the same value again costs nothing.
  void Record(instant aNow, Value aValue)
  {
    Forget(aNow);
    if (mHistory.empty() || !(mHistory.back().mValue == aValue))
      mHistory.push_back(entry{ aNow, std::move(aValue) });
  }

  /// The value as it was a lag ago, or the oldest known.
  [[nodiscard]] Value Read(instant aNow)
  {
    Forget(aNow);
    return mHistory.empty() ? Value{} : mHistory.front().mValue;
  }

private:
  struct entry
  {
    instant mSince;
    Value mValue;
  };

  void Forget(instant aNow)
  {
    while (mHistory.size() > 1 && mHistory[1].mSince + mLag <= aNow)
      mHistory.pop_front();
  }

  duration mLag{};
  std::deque<entry> mHistory;
};

}
