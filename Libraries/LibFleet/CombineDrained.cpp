#include <LibFleet/CombineDrained.h>

#include <algorithm>

namespace lycheeseam {

std::vector<rollout_drain>
CombineDrained(std::span<rollout_drain const> aLeft,
               std::span<rollout_drain const> aRight)
{
  std::vector<rollout_drain> both;
  for (rollout_drain const& left : aLeft) {
    auto const right = std::find_if(
      aRight.begin(), aRight.end(), [&left](rollout_drain const& aOther) {
        return aOther.mOrder == left.mOrder;
      });
    if (right != aRight.end())
      both.push_back(
        { .mOrder = left.mOrder,
          .mRevision = std::min(left.mRevision, right->mRevision) });
  }
  return both;
}

}
