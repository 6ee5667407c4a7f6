#pragma once

#include <LibDispatch/SpeedSample.h>

namespace lycheeseam {

/// How fast a server usually reads prompts, learned slowly from its answers.
/// Values are logarithms, so that a server that is twice as fast and one that
/// is half as fast as usual are equally far from the mean.
class server_speed
{
public:
  /// Learns from an answer; aUsualPace is the time that a server of mean speed
  /// takes per token, in seconds.
  void Learn(speed_sample const& aSample, double aUsualPace);

  /// Sets the mean of LogSpeed() over all servers of the pool.
  void SetPoolMean(double aLogMean) noexcept { mPoolMean = aLogMean; }

  /// The logarithm of the speed, in a unit that all servers of a pool share.
  [[nodiscard]] double LogSpeed() const noexcept { return mLogSpeed; }

  /// The speed relative to the mean of the pool; 1 without answers.
  [[nodiscard]] double Relative() const;

private:
  double mLogSpeed = 0;
  double mPoolMean = 0;
};

}
