#pragma once

#include <LibCore/VirtualClock.h>

#include <functional>
#include <map>
#include <utility>

namespace lycheeseam {

/// Runs events in virtual time; events due at the same instant run in the order
/// in which they were added. It is also the clock of the code under test.
class event_queue
{
public:
  /// The virtual time.
  [[nodiscard]] instant Now() const noexcept { return mClock.Now(); }

  /// Runs an event after a delay.
  void After(duration aDelay, std::function<void()> aEvent)
  {
    mEvents.emplace(Now() + aDelay, std::move(aEvent));
  }

  /// Runs all events due up to an instant, and sets the time to that instant.
  void RunUntil(instant aEnd)
  {
    while (!mEvents.empty() && mEvents.begin()->first <= aEnd) {
      auto const next = mEvents.extract(mEvents.begin());
      mClock.SetNow(next.key());
      next.mapped()();
    }
    mClock.SetNow(aEnd);
  }

private:
  virtual_clock mClock;
  std::multimap<instant, std::function<void()>> mEvents;
};

}
