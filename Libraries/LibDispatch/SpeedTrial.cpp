#include <LibDispatch/SpeedTrial.h>

#include <chrono>

namespace lycheeseam {

namespace {

// The head of the answer brings a report; an older one doesn't describe the
// time in which the prompt was read.
constexpr std::chrono::seconds kReportAge{ 1 };

}

void
speed_trial::Begin(instant aNow,
                   tracked_server const& aServer,
                   token_count aTokens)
{
  mSentAt = aNow;
  mSample = { .mTokens = aTokens,
              .mWaitingTokens =
                aServer.Estimate(aNow).mWaiting * aServer.mAverageTokens };
}

void
speed_trial::OnFirstEvent(instant aNow,
                          tracked_server& aServer,
                          server_table& aServers) const
{
  if (mSample.mTokens <= 0 || !aServer.HasReportedSlowdown(aNow, kReportAge))
    return;
  speed_sample sample = mSample;
  sample.mFirstEvent = aNow - mSentAt;
  sample.mSlowdown = *aServer.mLoad->mSlowdown;
  aServers.LearnSpeed(aServer, sample);
}

}
