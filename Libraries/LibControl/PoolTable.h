#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibControl/CallState.h>
#include <LibControl/PoolRuntime.h>

#include <map>
#include <optional>
#include <vector>

namespace lycheeseam {

/// This instance's state of every pool, by pool name.
template<placement_policy Policy>
class pool_table
{
public:
  /// Applies new configuration tables. Removed pools get no more requests.
  void Update(config_tables const& aTables)
  {
    std::erase_if(mPools, [&aTables](auto const& aEntry) {
      return !aTables.FindPool(aEntry.first);
    });
    for (auto const& [name, entry] : aTables.mPools)
      mPools[name].Update(entry.mRow);
    for (auto const& [name, entry] : aTables.mWorkspaces) {
      for (pool_entry& pool : mPools)
        pool.second.Queue().SetWeight(name, entry.mRow.mWeight);
    }
  }

  /// Returns the pool that a call runs on. A pool that was removed meanwhile is
  /// created again without servers, so that calls that run on it or are not yet
  /// queued end normally.
  pool_runtime<Policy>& Of(call_state const& aCall)
  {
    return mPools[aCall.mAdmitted.mPool.mName];
  }

  /// Returns all pools, for iteration.
  [[nodiscard]] std::vector<pool_runtime<Policy>*> All()
  {
    std::vector<pool_runtime<Policy>*> all;
    all.reserve(mPools.size());
    for (pool_entry& pool : mPools)
      all.push_back(&pool.second);
    return all;
  }

  /// Returns the earliest deadline in any queue, if any request is queued.
  [[nodiscard]] std::optional<instant> NextDeadline() const
  {
    std::optional<instant> earliest;
    for (auto const& [name, pool] : mPools) {
      std::optional<instant> const deadline = pool.Queue().NextDeadline();
      if (deadline && (!earliest || *deadline < *earliest))
        earliest = deadline;
    }
    return earliest;
  }

private:
  using pool_entry = std::pair<pool_name const, pool_runtime<Policy>>;

  std::map<pool_name, pool_runtime<Policy>> mPools;
};

}
