#pragma once

#include <LibRecords/RecordOrigin.h>

#include <chrono>
#include <string>

namespace lycheeseam {

/// A log record that takes the lease on one pool. Only the lease holder gives
/// orders to the pool's engines, and the record's offset is the fencing number
/// of those orders.
struct lease_grant
{
  record_origin mOrigin;
  pool_name mPool;
  /// The offset of the grant being replaced; 0 when there was none.
  log_offset mBase;
  /// How long the lease lasts.
  std::chrono::milliseconds mTerm{ 0 };

  bool operator==(lease_grant const&) const = default;
};

}
