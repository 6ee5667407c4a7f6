#include <LibPlacement/RoundRobinPolicy.h>

namespace lycheeseam {

std::optional<placement_choice>
round_robin_policy::Choose(placement_request const& /*aRequest*/,
                           std::span<placement_candidate const> aCandidates,
                           instant /*aNow*/)
{
  for (std::size_t tried = 0; tried < aCandidates.size(); ++tried) {
    std::size_t const index = mNext++ % aCandidates.size();
    if (aCandidates[index].IsEligible())
      return placement_choice{ .mIndex = index,
                               .mServer = aCandidates[index].mServer,
                               .mReason = placement_reason::RoundRobin };
  }
  return std::nullopt;
}

}
