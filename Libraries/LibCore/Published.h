#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace lycheeseam {

/// The newest immutable snapshot that the control thread hands to traffic
/// threads. Readers keep what they took for as long as they need it.
template<typename Snapshot>
class published
{
public:
  explicit published(std::shared_ptr<Snapshot const> aFirst)
    : mCurrent(std::move(aFirst))
  {
  }

  /// The newest snapshot; never null.
  [[nodiscard]] std::shared_ptr<Snapshot const> Current() const
  {
    std::lock_guard const lock{ mMutex };
    return mCurrent;
  }

  /// Replaces the snapshot for all later readers.
  void Publish(std::shared_ptr<Snapshot const> aNext)
  {
    // The old snapshot may be large; it is freed outside the lock.
    std::lock_guard const lock{ mMutex };
    mCurrent.swap(aNext);
  }

private:
  // A mutex rather than std::atomic<std::shared_ptr>, which spins in this
  // compiler's library; a reader holds it for one reference count.
  mutable std::mutex mMutex;
  std::shared_ptr<Snapshot const> mCurrent;
};

}
