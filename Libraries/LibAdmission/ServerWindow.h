#pragma once

#include <cassert>
#include <cstdint>

namespace lycheeseam {

/// Bounds the requests that this instance has outstanding on one backend
/// server.
class server_window
{
public:
  /// aLimit is this instance's part of the pool's bound, in requests.
  explicit server_window(std::uint32_t aLimit)
    : mLimit(aLimit)
  {
  }

  /// Takes a place; false when none is free.
  [[nodiscard]] bool TryAcquire()
  {
    if (Free() == 0)
      return false;
    ++mOutstanding;
    return true;
  }

  /// Gives a place back, whatever became of its request.
  void Release()
  {
    assert(mOutstanding > 0);
    --mOutstanding;
  }

  /// Changes the bound; what is outstanding above it runs to its end.
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
