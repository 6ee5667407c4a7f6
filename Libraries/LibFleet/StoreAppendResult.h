#pragma once

#include <LibFleet/StoreAppendStatus.h>
#include <LibStore/StorePosition.h>

namespace lycheeseam {

/// The status of an append to the store, and the position of its record.
struct store_append_result
{
  store_append_status mStatus = store_append_status::Unknown;
  /// The record's position, when it was appended.
  store_position mPosition;
};

}
