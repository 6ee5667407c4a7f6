#pragma once

#include <LibCore/VirtualClock.h>

#include <functional>
#include <map>
#include <utility>

namespace lycheeseam {

/// Runs events in virtual time; those due together in the order they were
/// added. It also serves as the clock of what it runs.
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

  /// Runs all events up to an instant and stops there.
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
