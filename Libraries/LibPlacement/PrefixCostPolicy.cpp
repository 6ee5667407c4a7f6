#include <LibPlacement/PrefixCostPolicy.h>
#include <LibPlacement/QueueEstimate.h>
#include <LibPlacement/RendezvousRank.h>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace lycheeseam {

namespace {

duration
Seconds(double aSeconds)
{
  return std::chrono::duration_cast<duration>(
    std::chrono::duration<double>{ aSeconds });
}

/// The number of the prompt's tokens cached by the candidate's incarnation.
token_count
CachedTokens(placement_request const& aRequest,
             placement_candidate const& aCandidate)
{
  for (known_prefix const& known : aRequest.mKnown) {
    if (known.mServer == aCandidate.mServer &&
        known.mIncarnation == aCandidate.mIncarnation)
      return std::min(known.mTokens, aRequest.mPromptTokens);
  }
  return 0;
}

/// The cheapest choice. Rendezvous hashing decides between equals, so that
/// instances agree on the server for a prefix that none has cached.
placement_choice const&
Cheapest(std::span<placement_choice const> aChoices, block_hash aRoot)
{
  auto const rank = [aRoot](placement_choice const& aChoice) {
    return std::pair{ aChoice.mExpectedCost,
                      ~RendezvousRank(aRoot, aChoice.mServer.Text()) };
  };
  return *std::ranges::min_element(aChoices, {}, rank);
}

}

std::optional<placement_choice>
prefix_cost_policy::Choose(placement_request const& aRequest,
                           std::span<placement_candidate const> aCandidates,
                           instant aNow) const
{
  if (aRequest.mLookupState == lookup_state::Missing)
    return mHashPolicy.Choose(aRequest, aCandidates, aNow);
  std::vector<placement_choice> choices;
  choices.reserve(aCandidates.size());
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    if (!aCandidates[index].IsEligible())
      continue;
    choices.push_back(Estimate(aRequest, aCandidates[index], aNow));
    choices.back().mIndex = index;
  }
  if (choices.empty())
    return std::nullopt;
  return Cheapest(choices, aRequest.mRoot);
}

placement_choice
prefix_cost_policy::Estimate(placement_request const& aRequest,
                             placement_candidate const& aCandidate,
                             instant aNow) const
{
  token_count const cached = CachedTokens(aRequest, aCandidate);
  token_count const uncached = aRequest.mPromptTokens - cached;
  token_count const stored =
    std::min(aRequest.mStoredTokens, aRequest.mPromptTokens);
  duration const compute = PrefillTime(uncached);
  duration const import =
    ImportTime(stored - cached) + PrefillTime(aRequest.mPromptTokens - stored);
  bool const usesImport = stored > cached && import < compute;
  return { .mServer = aCandidate.mServer,
           .mReason = usesImport   ? placement_reason::StoredPieces
                      : cached > 0 ? placement_reason::CachedPrefix
                                   : placement_reason::Recompute,
           .mExpectedCost = ExpectedWait(aRequest, aCandidate, aNow) +
                            (usesImport ? import : compute),
           .mExpectedCached = cached,
           .mStoredTokens = usesImport ? stored : 0 };
}

duration
prefix_cost_policy::ExpectedWait(placement_request const& aRequest,
                                 placement_candidate const& aCandidate,
                                 instant aNow) const
{
  token_count const queued =
    EstimateQueuedTokens(aCandidate, mOptions.mPrefillRate, aNow);
  std::uint32_t const running =
    std::max(aCandidate.mLoad.mRunning, aCandidate.mOutstanding);
  bool const isSameDomain =
    aCandidate.mFailureDomain == aRequest.mFailureDomain;
  return Seconds(static_cast<double>(queued) / mOptions.mPrefillRate) +
         running * mOptions.mDelayPerRunning +
         (isSameDomain ? duration{} : mOptions.mDomainRoundTrip);
}

duration
prefix_cost_policy::PrefillTime(token_count aTokens) const
{
  double const seconds = static_cast<double>(aTokens) / mOptions.mPrefillRate;
  return Seconds(seconds * (1.0 + mOptions.mComputeWeight));
}

duration
prefix_cost_policy::ImportTime(token_count aTokens) const
{
  double const seconds = static_cast<double>(aTokens) / mOptions.mImportRate;
  return mOptions.mImportLatency + Seconds(seconds);
}

}
