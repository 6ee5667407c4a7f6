#pragma once

#include <LibCore/Instant.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace lycheeseam::bench {

/// Runs actions in the order of virtual time; equal times in order of adding.
class scheduler
{
public:
  using action = std::function<void()>;

  [[nodiscard]] instant Now() const { return mNow; }

  void At(instant aTime, action aAction);

  void After(duration aSpan, action aAction)
  {
    At(mNow + aSpan, std::move(aAction));
  }

  /// Runs all that is due up to a time.
  void RunUntil(instant aEnd);

private:
  struct entry
  {
    instant mAt;
    std::uint64_t mOrder;
    action mAction;

    bool operator>(entry const& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mOrder > aOther.mOrder;
    }
  };

  instant mNow{};
  std::uint64_t mLastOrder = 0;
  std::priority_queue<entry, std::vector<entry>, std::greater<>> mEntries;
};

}
