#pragma once

#include <LibStore/KeyedRecord.h>

#include <cstdint>
#include <vector>

namespace lycheeseam {

/// Records of a topic from one read.
struct topic_page
{
  std::vector<keyed_record> mRecords;
  /// The offset after the topic's last record.
  std::uint64_t mEnd = 0;
  /// True when the page is full and more keys follow.
  bool mHasMore = false;
};

}
