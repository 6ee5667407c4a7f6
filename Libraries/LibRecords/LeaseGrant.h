#pragma once

#include <LibRecords/RecordOrigin.h>

#include <chrono>
#include <string>

namespace lycheeseam {

/// Takes the lease under which orders are given to one pool's engines. Its
/// offset is the fencing number of those orders.
struct lease_grant
{
  record_origin mOrigin;
  pool_name mPool;
  /// The offset of the grant being replaced; 0 when there was none.
  log_offset mBase;
  std::chrono::milliseconds mTerm{ 0 };

  bool operator==(lease_grant const&) const = default;
};

}
