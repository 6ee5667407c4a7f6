#pragma once

#include <LibFleet/ObservationRule.h>

#include <map>
#include <span>
#include <vector>

namespace lycheeseam {

/// The newest observations of each backend server, by any instance.
template<observation_rule Rule>
class newest_observations
{
public:
  using observation = typename Rule::observation;

  /// Merges observations; returns those that are newer than the known ones.
  std::vector<observation> Merge(std::span<observation const> aObserved)
  {
    std::vector<observation> news;
    for (observation const& observed : aObserved) {
      auto const [known, isNew] =
        mObserved.try_emplace(Rule::ServerOf(observed), observed);
      if (!isNew && !Rule::IsNewer(observed, known->second))
        continue;
      known->second = observed;
      news.push_back(observed);
    }
    return news;
  }

  /// Removes observations that no instance has repeated for long.
  void Prune(instant aNow)
  {
    std::erase_if(mObserved, [aNow](auto const& aEntry) {
      return aNow - Rule::ObservedAt(aEntry.second) > Rule::kKeptTime;
    });
  }

  [[nodiscard]] std::vector<observation> List() const
  {
    std::vector<observation> list;
    list.reserve(mObserved.size());
    for (auto const& [server, observed] : mObserved)
      list.push_back(observed);
    return list;
  }

private:
  std::map<typename Rule::server_key, observation> mObserved;
};

}
