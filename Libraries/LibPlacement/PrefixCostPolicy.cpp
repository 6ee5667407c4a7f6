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

/// What is known to be cached on this very life of a server.
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

/// The cheapest choice; hashing decides between equals, so that instances
/// agree on the place of a prefix that nobody holds.
placement_choice const&
PickCheapest(std::span<placement_choice const> aChoices, block_hash aRoot)
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
  if (aRequest.mKnowledge == knowledge_state::Missing)
    return mByHash.Choose(aRequest, aCandidates, aNow);
  std::vector<placement_choice> choices;
  choices.reserve(aCandidates.size());
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    if (!aCandidates[index].IsEligible())
      continue;
    choices.push_back(Weigh(aRequest, aCandidates[index], aNow));
    choices.back().mIndex = index;
  }
  if (choices.empty())
    return std::nullopt;
  return PickCheapest(choices, aRequest.mRoot);
}

placement_choice
prefix_cost_policy::Weigh(placement_request const& aRequest,
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
  bool const takesImport = stored > cached && import < compute;
  return { .mServer = aCandidate.mServer,
           .mReason = takesImport  ? placement_reason::StoredPieces
                      : cached > 0 ? placement_reason::CachedPrefix
                                   : placement_reason::Recompute,
           .mExpectedCost = WaitAt(aRequest, aCandidate, aNow) +
                            (takesImport ? import : compute),
           .mExpectedCached = cached,
           .mStoredTokens = takesImport ? stored : 0 };
}

duration
prefix_cost_policy::WaitAt(placement_request const& aRequest,
                           placement_candidate const& aCandidate,
                           instant aNow) const
{
  token_count const queued =
    EstimateQueuedTokens(aCandidate, mOptions.mPrefillRate, aNow);
  std::uint32_t const running =
    std::max(aCandidate.mLoad.mRunning, aCandidate.mOutstanding);
  bool const isNear = aCandidate.mFailureDomain == aRequest.mFailureDomain;
  return Seconds(static_cast<double>(queued) / mOptions.mPrefillRate) +
         running * mOptions.mCostPerRunning +
         (isNear ? duration{} : mOptions.mDistance);
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
