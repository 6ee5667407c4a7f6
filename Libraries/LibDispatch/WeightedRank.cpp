#include <LibDispatch/RendezvousRank.h>
#include <LibDispatch/WeightedRank.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace lycheeseam {

namespace {

// Weighted rendezvous hashing: with a rank u that is spread evenly over (0, 1),
// -w / ln(u) is the highest for a server with a probability proportional to w.
double
Score(tracked_server const& aServer, std::uint64_t aPromptKey, instant aNow)
{
  constexpr double kRange = 18'446'744'073'709'551'616.0;
  double const rank =
    (static_cast<double>(RendezvousRank(aPromptKey, aServer.mSeed)) + 0.5) /
    (kRange + 1);
  return -aServer.Estimate(aNow).mSpeed / std::log(rank);
}

}

std::vector<tracked_server*>
FirstByWeightedRank(std::span<tracked_server* const> aServers,
                    std::uint64_t aPromptKey,
                    std::size_t aCount,
                    instant aNow)
{
  std::vector<std::pair<double, tracked_server*>> ranked;
  ranked.reserve(aServers.size());
  for (tracked_server* const server : aServers)
    ranked.emplace_back(Score(*server, aPromptKey, aNow), server);
  std::size_t const count = std::min(aCount, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(),
                    [](auto const& aLeft, auto const& aRight) {
                      return aLeft.first > aRight.first;
                    });
  std::vector<tracked_server*> first;
  for (std::size_t index = 0; index < count; ++index)
    first.push_back(ranked[index].second);
  return first;
}

}
