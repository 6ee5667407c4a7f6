#pragma once

#include <LibFleet/StoreAppendStatus.h>

#include <cstdint>

namespace lycheeseam {

/// How an append to the store ended, and where its record stands.
struct store_append_result
{
  store_append_status mStatus = store_append_status::Unknown;
  /// Of the record, when it was appended.
  std::uint64_t mOffset = 0;
};

}
