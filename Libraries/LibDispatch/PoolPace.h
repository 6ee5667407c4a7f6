#pragma once

#include <LibDispatch/SpeedSample.h>

#include <map>

namespace lycheeseam {

/// The time that a server of a pool's mean speed takes per token, by the size
/// of the prompt: answers are compared with those of similar size only.
class pool_pace
{
public:
  /// Learns from an answer of a server whose speed is aSpeed times the mean.
  void Learn(speed_sample const& aSample, double aSpeed);

  /// Seconds per token for a request of the sample's size; 0 when unknown.
  [[nodiscard]] double Of(speed_sample const& aSample) const;

private:
  /// The moving average for each size class.
  std::map<int, double> mPaces;
};

}
