#pragma once

#include <LibCore/Verify.h>

#include <cstdint>

namespace lycheeseam {

/// Limits the requests that this instance has outstanding on one backend
/// server.
class server_window
{
public:
  /// aLimit is this instance's share of the pool's limit, in requests.
  explicit server_window(std::uint32_t aLimit)
    : mLimit(aLimit)
  {
  }

  /// Reserves capacity for one request; false when none is free.
  [[nodiscard]] bool TryAcquire()
  {
    if (Free() == 0)
      return false;
    ++mOutstanding;
    return true;
  }

  /// Releases the capacity of a request that has ended, successful or not.
  void Release()
  {
    VERIFY(mOutstanding > 0);
    --mOutstanding;
  }

  /// Changes the limit; outstanding requests above it run to completion.
  void SetLimit(std::uint32_t aLimit) { mLimit = aLimit; }

  [[nodiscard]] std::uint32_t Outstanding() const { return mOutstanding; }

  [[nodiscard]] std::uint32_t Free() const
  {
    return mLimit > mOutstanding ? mLimit - mOutstanding : 0;
  }

private:
  std::uint32_t mLimit;
  std::uint32_t mOutstanding = 0;
};

}
