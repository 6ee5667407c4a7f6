#pragma once

#include <LibOrders/Lease.h>
#include <LibRecords/LogEntry.h>

#include <map>

namespace lycheeseam {

/// The newest lease of each pool, as of the entries applied. The log knows no
/// time: who may replace a lease, and when, is lease_holder's to decide.
class lease_fold
{
public:
  /// Takes the next entry in log order.
  void Apply(log_entry const& aEntry);

  /// The pool's newest lease, or null.
  [[nodiscard]] lease const* Find(pool_name const& aPool) const;

private:
  std::map<pool_name, lease> mLeases;
};

}
