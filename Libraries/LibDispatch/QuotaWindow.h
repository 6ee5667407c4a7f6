#pragma once

#include <LibCore/Instant.h>

#include <array>
#include <cstddef>

namespace lycheeseam {

/// Units that were admitted within the last window of time, counted in slots;
/// never counts less than the exact window would.
class quota_window
{
public:
  explicit quota_window(duration aWindow)
    : mSlotTime(aWindow / kSlots)
  {
  }

  /// Adds units at an instant, which never goes back.
  void Add(instant aNow, double aUnits);

  /// Takes units as admitted evenly over the window that ends now.
  void Spread(instant aNow, double aUnits);

  /// The units of the window that ends now.
  [[nodiscard]] double Sum(instant aNow);

  /// How long until so many units have left the window.
  [[nodiscard]] duration WaitFor(double aUnits) const;

private:
  static constexpr std::size_t kSlots = 32;

  void MoveTo(instant aNow);

  duration mSlotTime;
  /// One slot more than the window, since the oldest is only partly over.
  std::array<double, kSlots + 1> mUnits{};
  std::int64_t mNewest = 0;
  double mSum = 0;
};

}
