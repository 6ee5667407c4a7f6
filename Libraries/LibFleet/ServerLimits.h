#pragma once

#include <LibDispatch/ObservedLimit.h>

#include <map>
#include <span>
#include <vector>

namespace lycheeseam {

/// The newest observations of backend servers' rate limits, by any instance.
class server_limits
{
public:
  /// Merges observations; returns those that are newer than the known ones.
  std::vector<observed_limit> Merge(std::span<observed_limit const> aObserved);

  /// Removes observations that no instance has repeated for long.
  void Prune(instant aNow);

  [[nodiscard]] std::vector<observed_limit> List() const;

private:
  std::map<backend_server_id, observed_limit> mObserved;
};

}
