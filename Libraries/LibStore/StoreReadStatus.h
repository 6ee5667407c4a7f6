#pragma once

namespace lycheeseam {

/// How a read of the store ended.
enum class store_read_status
{
  Done,
  /// The records from that offset on have been dropped.
  Expired,
  /// The store didn't answer, refused, or answered what can't be read.
  Failed,
};

}
