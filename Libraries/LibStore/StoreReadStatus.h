#pragma once

namespace lycheeseam {

/// The result of a read from the store.
enum class store_read_status
{
  Done,
  /// The store holds no records that follow the known ones: they have been
  /// dropped, or it was restored from a copy.
  Expired,
  /// The store was unreachable, refused the request, or sent an invalid answer.
  Failed,
};

}
