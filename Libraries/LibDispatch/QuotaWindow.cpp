#include <LibDispatch/QuotaWindow.h>

#include <algorithm>

namespace lycheeseam {

void
quota_window::MoveTo(instant aNow)
{
  std::int64_t const slot = aNow.time_since_epoch() / mSlotTime;
  std::int64_t const size = static_cast<std::int64_t>(mUnits.size());
  std::int64_t const steps = std::min(slot - mNewest, size);
  for (std::int64_t step = 0; step < steps; ++step) {
    double& oldest = mUnits[(mNewest + 1 + step) % size];
    mSum -= oldest;
    oldest = 0;
  }
  mNewest = std::max(mNewest, slot);
}

void
quota_window::Add(instant aNow, double aUnits)
{
  MoveTo(aNow);
  mUnits[mNewest % static_cast<std::int64_t>(mUnits.size())] += aUnits;
  mSum += aUnits;
}

void
quota_window::Spread(instant aNow, double aUnits)
{
  MoveTo(aNow);
  for (double& slot : mUnits)
    slot += aUnits / static_cast<double>(mUnits.size());
  mSum += aUnits;
}

double
quota_window::Sum(instant aNow)
{
  MoveTo(aNow);
  return mSum;
}

duration
quota_window::WaitFor(double aUnits) const
{
  std::int64_t const size = static_cast<std::int64_t>(mUnits.size());
  duration wait{};
  double freed = 0;
  for (std::int64_t step = 1; step <= size && freed < aUnits; ++step) {
    freed += mUnits[(mNewest + step) % size];
    wait += mSlotTime;
  }
  return wait;
}

}
