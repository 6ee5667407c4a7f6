#include <LibMetrics/EventRate.h>

namespace lycheeseam {

namespace accumulators = boost::accumulators;

event_rate::event_rate()
  : mRolling(accumulators::tag::rolling_window::window_size = kWindowTicks)
{
}

void
event_rate::Add(std::uint64_t aEvents)
{
  mTotal += aEvents;
}

void
event_rate::Tick()
{
  mRolling(static_cast<double>(mTotal - mTotalAtLastTick));
  mTotalAtLastTick = mTotal;
  mHasTicked = true;
}

double
event_rate::PerTick() const
{
  return mHasTicked ? accumulators::rolling_mean(mRolling) : 0.0;
}

}
