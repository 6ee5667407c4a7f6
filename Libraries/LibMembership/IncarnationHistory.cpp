#include <LibMembership/IncarnationHistory.h>

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace lycheeseam {

namespace {

// Lists and reports of the state of other processes arrive within this time.
constexpr duration kMaxDelay = std::chrono::seconds{ 30 };

// A process that restarts over and over doesn't use up memory.
constexpr std::size_t kMaxFormer = 16;

}

void
incarnation_history::OnReplaced(instant aNow, incarnation aFormer)
{
  mReplacedAt[aFormer] = aNow;
  if (mReplacedAt.size() <= kMaxFormer)
    return;
  mReplacedAt.erase(
    std::min_element(mReplacedAt.begin(),
                     mReplacedAt.end(),
                     [](auto const& aFirst, auto const& aSecond) {
                       return aFirst.second < aSecond.second;
                     }));
}

bool
incarnation_history::MayBeLate(instant aNow, incarnation aIncarnation) const
{
  auto const found = mReplacedAt.find(aIncarnation);
  return found != mReplacedAt.end() && aNow - found->second < kMaxDelay;
}

}
