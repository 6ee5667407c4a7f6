#pragma once

#include <LibCore/Instant.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace lycheeseam::bench {

/// Runs actions in the order of virtual time. Actions of the same time run in
/// the order in which they were added.
class scheduler
{
public:
  using action = std::function<void()>;

  [[nodiscard]] instant Now() const { return mNow; }

  /// Adds an action that runs at a time, or now if that has passed.
  void At(instant aTime, action aAction);

  /// Adds an action that runs after a delay.
  void After(duration aDelay, action aAction)
  {
    At(mNow + aDelay, std::move(aAction));
  }

  /// Runs the actions due up to aEnd and sets the time to it.
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
