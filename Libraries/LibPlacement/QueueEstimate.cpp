#include <LibPlacement/QueueEstimate.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

token_count
EstimateQueuedTokens(placement_candidate const& aCandidate,
                     double aPrefillRate,
                     instant aNow)
{
  std::chrono::duration<double> const age = aNow - aCandidate.mLoad.mMeasuredAt;
  double const computed = std::max(age.count(), 0.0) * aPrefillRate;
  double const queued = static_cast<double>(aCandidate.mLoad.mQueuedTokens +
                                            aCandidate.mSentTokens);
  return static_cast<token_count>(std::max(queued - computed, 0.0));
}

}
