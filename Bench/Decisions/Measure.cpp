#include <Bench/Decisions/Measure.h>
#include <Bench/Decisions/Simulation.h>
#include <Bench/Support/Percentile.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam::bench {

namespace {

/// The index of the workspace that floods in the case of that name.
constexpr std::size_t kFloodingWorkspace = 1;

/// Values collected over all seeds, from which the results are computed.
struct sample
{
  std::vector<double> mFirstTokens;
  std::vector<double> mOthers;
  std::vector<std::vector<double>> mByWorkspace;
  double mPromptTokens = 0;
  double mCachedTokens = 0;
  double mRecomputedTokens = 0;
};

void
CountResult(request_result aOutcome, case_result& aResult)
{
  ++aResult.mRequests;
  aResult.mOverRate += aOutcome == request_result::OverRate ? 1 : 0;
  aResult.mLost += aOutcome == request_result::Lost ? 1 : 0;
  bool const isRefused =
    aOutcome == request_result::Refused || aOutcome == request_result::Open;
  aResult.mRefusedInside += isRefused ? 1 : 0;
}

void
AddAnswered(arrival const& aRequest, request_state const& aState, sample& aSum)
{
  double const after =
    std::chrono::duration<double, std::milli>(aState.mFirstTokenAfter).count();
  aSum.mFirstTokens.push_back(after);
  aSum.mByWorkspace[aRequest.mWorkspace].push_back(after);
  if (aRequest.mWorkspace != kFloodingWorkspace)
    aSum.mOthers.push_back(after);
  aSum.mPromptTokens += static_cast<double>(aRequest.mPromptTokens);
  aSum.mCachedTokens += static_cast<double>(aState.mCachedTokens);
  aSum.mRecomputedTokens += static_cast<double>(aState.mRecomputedTokens);
}

void
AddRun(simulation const& aRun,
       instant aFrom,
       sample& aSum,
       case_result& aResult)
{
  for (std::size_t index = 0; index < aRun.Arrivals().size(); ++index) {
    arrival const& request = aRun.Arrivals()[index];
    request_state const& state = aRun.States()[index];
    if (request.mAt < aFrom)
      continue;
    CountResult(state.mResult, aResult);
    if (state.mResult == request_result::Answered)
      AddAnswered(request, state, aSum);
  }
}

void
Summarize(sample const& aSum, case_result& aResult)
{
  aResult.mHitRate = 100 * aSum.mCachedTokens / aSum.mPromptTokens;
  aResult.mRecomputed = 100 * aSum.mRecomputedTokens / aSum.mPromptTokens;
  aResult.mP50Milliseconds = Percentile(aSum.mFirstTokens, 0.5);
  aResult.mP99Milliseconds = Percentile(aSum.mFirstTokens, 0.99);
  aResult.mOthersP99 = Percentile(aSum.mOthers, 0.99);
  std::vector<double> tails;
  for (std::vector<double> const& workspace : aSum.mByWorkspace)
    tails.push_back(Percentile(workspace, 0.99));
  aResult.mMedianWorkspaceP99 = Percentile(tails, 0.5);
  aResult.mWorstWorkspaceP99 = *std::ranges::max_element(tails);
  // A flooding workspace waits because of its own rate limit, which is fair, so
  // it is excluded, in the other cases too.
  tails.erase(tails.begin() + kFloodingWorkspace);
  aResult.mWorstOtherP99 = *std::ranges::max_element(tails);
}

}

case_result
Measure(simulation_options const& aOptions,
        std::span<std::uint64_t const> aSeeds)
{
  case_result result{ .mDeployment = aOptions.mDeployment.mName,
                      .mCase = aOptions.mCase.mName,
                      .mPolicy = std::string{ PolicyName(aOptions.mPolicy) } };
  sample sum;
  sum.mByWorkspace.resize(aOptions.mDeployment.mShares.size());
  double const instanceSeconds =
    std::chrono::duration<double>(aOptions.mLength).count() *
    static_cast<double>(aOptions.mDeployment.mInstances * aSeeds.size());
  for (std::uint64_t const seed : aSeeds) {
    simulation_options options = aOptions;
    options.mSeed = seed;
    simulation run{ options };
    run.Run();
    AddRun(run, instant{} + aOptions.mWarmUp, sum, result);
    result.mLookupBytes +=
      static_cast<double>(run.LookupBytes()) / instanceSeconds;
    result.mEventBytes +=
      static_cast<double>(run.EventBytes()) / instanceSeconds;
  }
  Summarize(sum, result);
  return result;
}

}
