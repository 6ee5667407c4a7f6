#pragma once

namespace lycheeseam {

/// The result of a read from the store.
enum class store_read_status
{
  Done,
  /// The offset is before the retained range.
  Expired,
  /// The store was unreachable, refused the request, or sent an invalid answer.
  Failed,
};

}
