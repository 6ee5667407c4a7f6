#include <LibPlacement/LeastLoadedPolicy.h>

#include <algorithm>
#include <tuple>

namespace lycheeseam {

namespace {

std::tuple<token_count, std::uint32_t>
LoadOf(placement_candidate const& aCandidate)
{
  return { aCandidate.mLoad.mQueuedTokens + aCandidate.mSentTokens,
           std::max(aCandidate.mLoad.mRunning, aCandidate.mOutstanding) };
}

}

std::optional<placement_choice>
least_loaded_policy::Choose(placement_request const& /*aRequest*/,
                            std::span<placement_candidate const> aCandidates,
                            instant /*aNow*/)
{
  std::optional<std::size_t> best;
  std::size_t const first = mNext++;
  for (std::size_t offset = 0; offset < aCandidates.size(); ++offset) {
    std::size_t const index = (first + offset) % aCandidates.size();
    if (!aCandidates[index].IsEligible())
      continue;
    if (!best || LoadOf(aCandidates[index]) < LoadOf(aCandidates[*best]))
      best = index;
  }
  if (!best)
    return std::nullopt;
  return placement_choice{ .mIndex = *best,
                           .mServer = aCandidates[*best].mServer,
                           .mReason = placement_reason::LeastLoaded };
}

}
