#include <LibDispatch/ServerSpeed.h>

#include <algorithm>
#include <cmath>

namespace lycheeseam {

namespace {

// Speeds stay for long periods, and single answers differ by several times
// with what is cached. An average over about 20 answers shows differences of
// 0.7 to 1.7 times.
constexpr double kWeight = 0.05;

// A single answer that was stalled counts as no slower than this.
constexpr double kMaxLogRatio = 1.4;

}

void
server_speed::Learn(speed_sample const& aSample, double aUsualPace)
{
  double const pace = aSample.Pace();
  if (pace <= 0 || aUsualPace <= 0)
    return;
  double const ratio =
    std::clamp(std::log(aUsualPace / pace), -kMaxLogRatio, kMaxLogRatio);
  mLogSpeed += kWeight * (ratio - mLogSpeed);
}

double
server_speed::Relative() const
{
  return std::exp(mLogSpeed - mPoolMean);
}

}
