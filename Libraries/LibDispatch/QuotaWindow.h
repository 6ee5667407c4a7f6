#pragma once

#include <LibCore/Instant.h>

#include <array>
#include <cstddef>

namespace lycheeseam {

/// Counts the units admitted within a sliding window, in time buckets. The sum
/// is never less than that of the exact window.
class quota_window
{
public:
  explicit quota_window(duration aWindow)
    : mBucketTime(aWindow / kBuckets)
  {
  }

  /// Adds units at an instant; instants must not decrease.
  void Add(instant aNow, double aUnits);

  /// Adds units evenly over the window that ends now.
  void AddEvenly(instant aNow, double aUnits);

  /// The units admitted in the window that ends now.
  [[nodiscard]] double Sum(instant aNow);

  /// The units that leave the window within aTime.
  [[nodiscard]] double Leaving(instant aNow, duration aTime);

  /// How long until aUnits have left the window.
  [[nodiscard]] duration WaitFor(double aUnits) const;

private:
  static constexpr std::size_t kBuckets = 32;

  void AdvanceTo(instant aNow);

  duration mBucketTime;
  /// One bucket more than the window has, since the oldest one is still partly
  /// within the window.
  std::array<double, kBuckets + 1> mUnits{};
  /// Number of the newest bucket, counted from the clock's epoch.
  std::int64_t mNewest = 0;
  double mSum = 0;
};

}
