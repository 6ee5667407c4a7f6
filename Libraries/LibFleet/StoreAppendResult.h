#pragma once

#include <LibFleet/StoreAppendStatus.h>

#include <cstdint>

namespace lycheeseam {

/// The status of an append to the store, and the offset of its record.
struct store_append_result
{
  store_append_status mStatus = store_append_status::Unknown;
  /// The record's offset, when it was appended.
  std::uint64_t mOffset = 0;
};

}
