#include <LibDispatch/RejectionLimit.h>

#include <algorithm>

namespace lycheeseam {

namespace {

// Instances' rejections may coincide.
constexpr double kUsedPart = 0.5;

constexpr std::chrono::seconds kMinPause{ 1 };

// By then the server has had time to come back, and its load has changed.
constexpr std::chrono::seconds kMaxPause{ 10 };

}

void
rejection_limit::OnAnnounced(instant aNow, double aRejectionsPerSecond)
{
  mRejectionsPerSecond = aRejectionsPerSecond;
  mUntil = aNow + kLifetime;
}

bool
rejection_limit::IsInForce(instant aNow) const
{
  return aNow < mUntil;
}

duration
rejection_limit::PauseAfterRejection(std::size_t aInstances) const
{
  double const used = kUsedPart * mRejectionsPerSecond;
  if (used <= 0)
    return kMaxPause;
  std::chrono::duration<double> const pause{ static_cast<double>(aInstances) /
                                             used };
  return std::clamp<duration>(
    std::chrono::duration_cast<duration>(
      std::min<std::chrono::duration<double>>(pause, kMaxPause)),
    kMinPause,
    kMaxPause);
}

}
