#include <LibDispatch/QuotaWindow.h>

#include <algorithm>

namespace lycheeseam {

void
quota_window::AdvanceTo(instant aNow)
{
  std::int64_t const bucket = aNow.time_since_epoch() / mBucketTime;
  std::int64_t const size = static_cast<std::int64_t>(mUnits.size());
  std::int64_t const steps = std::min(bucket - mNewest, size);
  for (std::int64_t step = 0; step < steps; ++step) {
    double& oldest = mUnits[(mNewest + 1 + step) % size];
    mSum -= oldest;
    oldest = 0;
  }
  mNewest = std::max(mNewest, bucket);
}

void
quota_window::Add(instant aNow, double aUnits)
{
  AdvanceTo(aNow);
  mUnits[mNewest % static_cast<std::int64_t>(mUnits.size())] += aUnits;
  mSum += aUnits;
}

void
quota_window::AddEvenly(instant aNow, double aUnits)
{
  AdvanceTo(aNow);
  for (double& bucket : mUnits)
    bucket += aUnits / static_cast<double>(mUnits.size());
  mSum += aUnits;
}

double
quota_window::Sum(instant aNow)
{
  AdvanceTo(aNow);
  return mSum;
}

double
quota_window::Leaving(instant aNow, duration aTime)
{
  AdvanceTo(aNow);
  std::int64_t const size = static_cast<std::int64_t>(mUnits.size());
  std::int64_t const steps =
    std::min<std::int64_t>(size - 1, aTime / mBucketTime);
  double leaving = 0;
  for (std::int64_t step = 1; step <= steps; ++step)
    leaving += mUnits[(mNewest + step) % size];
  return leaving;
}

duration
quota_window::WaitFor(double aUnits) const
{
  std::int64_t const size = static_cast<std::int64_t>(mUnits.size());
  duration wait{};
  double freed = 0;
  for (std::int64_t step = 1; step <= size && freed < aUnits; ++step) {
    freed += mUnits[(mNewest + step) % size];
    wait += mBucketTime;
  }
  return wait;
}

}
