#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstddef>

namespace lycheeseam {

/// How many rejections a brittle backend server bears: it falls over when it
/// has to reject more requests a second, from all instances together. Each
/// instance keeps to its part of that. Runs on the traffic thread.
class rejection_limit
{
public:
  /// An answer says how many rejections a second the servers of the pool bear,
  /// from all instances together.
  void OnAnnounced(instant aNow, double aRejectionsPerSecond);

  /// True while the server is to get no request that it may reject.
  [[nodiscard]] bool IsInForce(instant aNow) const;

  /// How long an instance, one of aInstances, sends the server nothing after it
  /// rejected a request.
  [[nodiscard]] duration PauseAfterRejection(std::size_t aInstances) const;

private:
  // All answers say it while it lasts.
  static constexpr std::chrono::seconds kLifetime{ 3 };

  double mRejectionsPerSecond = 0;
  instant mUntil{};
};

}
