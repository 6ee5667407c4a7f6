#include <LibDispatch/NewestWeights.h>

#include <algorithm>

namespace lycheeseam {

std::vector<std::vector<tracked_server*>>
GroupByVersion(std::vector<tracked_server*> aServers, model_name const& aModel)
{
  auto const isNewer = [&aModel](tracked_server const* aLeft,
                                 tracked_server const* aRight) {
    return aLeft->mRegistered.VersionOf(aModel) >
           aRight->mRegistered.VersionOf(aModel);
  };
  std::stable_sort(aServers.begin(), aServers.end(), isNewer);
  std::vector<std::vector<tracked_server*>> groups;
  for (tracked_server* const server : aServers) {
    if (groups.empty() || isNewer(groups.back().back(), server))
      groups.emplace_back();
    groups.back().push_back(server);
  }
  return groups;
}

bool
IsLarge(std::span<tracked_server* const> aServers,
        server_choice_request const& aRequest)
{
  double sum = 0;
  for (tracked_server const* const server : aServers)
    sum += server->mAverageTokens;
  return static_cast<double>(aRequest.mTokens) *
           static_cast<double>(aServers.size()) >=
         sum;
}

}
