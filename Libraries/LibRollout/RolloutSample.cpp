#include <LibRollout/RolloutSample.h>

namespace lycheeseam {

rollout_sample&
rollout_sample::operator+=(rollout_sample const& aOther)
{
  mAnswers += aOther.mAnswers;
  mFailures += aOther.mFailures;
  for (std::size_t i = 0; i < kSizeClasses; ++i)
    mFirstEvent.at(i) += aOther.mFirstEvent.at(i);
  mLongestPause += aOther.mLongestPause;
  mRunTime += aOther.mRunTime;
  return *this;
}

}
