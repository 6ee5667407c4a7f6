#pragma once

#include <LibOrders/Lease.h>
#include <LibRecords/LogEntry.h>

#include <map>

namespace lycheeseam {

/// Derives the newest lease of each pool from the log. The log holds no times:
/// lease_holder decides when a lease may be replaced.
class lease_fold
{
public:
  /// Applies the next entry in log order.
  void Apply(log_entry const& aEntry);

  /// Returns the newest lease of the pool, or null.
  [[nodiscard]] lease const* Find(pool_name const& aPool) const;

private:
  std::map<pool_name, lease> mLeases;
};

}
