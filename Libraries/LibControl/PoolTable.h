#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibControl/CallState.h>
#include <LibControl/PoolRuntime.h>

#include <map>
#include <optional>
#include <vector>

namespace lycheeseam {

/// Every pool as this instance runs it.
template<placement_policy Policy>
class pool_table
{
public:
  /// Takes new tables: pools that are gone get nothing from now on.
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

  /// The pool that a call runs on. A pool that was deleted meanwhile is there
  /// again without servers, so that its last calls end as any other.
  pool_runtime<Policy>& Of(call_state const& aCall)
  {
    return mPools[aCall.mAdmitted.mPool.mName];
  }

  /// All pools, to go through.
  [[nodiscard]] std::vector<pool_runtime<Policy>*> All()
  {
    std::vector<pool_runtime<Policy>*> all;
    all.reserve(mPools.size());
    for (pool_entry& pool : mPools)
      all.push_back(&pool.second);
    return all;
  }

  /// The earliest deadline in any queue.
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
