#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace lycheeseam {

/// Holds the newest immutable snapshot that the control thread publishes to the
/// traffic threads. All functions are safe from any thread; a reader's snapshot
/// stays valid while the reader holds it.
template<typename Snapshot>
class published
{
public:
  explicit published(std::shared_ptr<Snapshot const> aFirst)
    : mCurrent(std::move(aFirst))
  {
  }

  /// Returns the newest snapshot; never null.
  [[nodiscard]] std::shared_ptr<Snapshot const> Current() const
  {
    std::lock_guard const lock{ mMutex };
    return mCurrent;
  }

  /// Replaces the snapshot for all later readers.
  void Publish(std::shared_ptr<Snapshot const> aNext)
  {
    // The swap leaves the old snapshot in aNext: it may be large and is freed
    // after the lock is released.
    std::lock_guard const lock{ mMutex };
    mCurrent.swap(aNext);
  }

private:
  // A mutex instead of std::atomic<std::shared_ptr>, which spins in this
  // compiler's library. A reader holds it only while it copies the pointer.
  mutable std::mutex mMutex;
  std::shared_ptr<Snapshot const> mCurrent;
};

}
