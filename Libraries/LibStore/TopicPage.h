#pragma once

#include <LibStore/KeyedRecord.h>

#include <cstdint>
#include <vector>

namespace lycheeseam {

/// A longer answer to a read isn't one of the store, whose pages hold up to
/// 1 MiB of records, raw or in base64.
inline constexpr std::uint64_t kMaxPageBytes = 2ULL * 1024 * 1024;

/// Records of a topic from one read.
struct topic_page
{
  std::vector<keyed_record> mRecords;
  /// The position after the topic's last record.
  store_position mEnd;
  /// True when the page is full and more keys follow.
  bool mHasMore = false;
};

}
