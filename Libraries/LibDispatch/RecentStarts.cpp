#include <LibDispatch/RecentStarts.h>

#include <algorithm>
#include <chrono>
#include <iterator>

namespace lycheeseam {

namespace {

// Older reports don't count.
constexpr std::chrono::seconds kKeptTime{ 1 };

}

void
recent_starts::Add(instant aNow)
{
  while (!mStarts.empty() && aNow - mStarts.front() > kKeptTime)
    mStarts.pop_front();
  mStarts.push_back(aNow);
}

std::uint32_t
recent_starts::CountAfter(instant aFrom) const
{
  auto const first = std::upper_bound(mStarts.begin(), mStarts.end(), aFrom);
  return static_cast<std::uint32_t>(std::distance(first, mStarts.end()));
}

}
