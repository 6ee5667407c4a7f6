#pragma once

#include <LibStore/KeyedRecord.h>

#include <cstdint>
#include <vector>

namespace lycheeseam {

/// Records of a topic that were read at once.
struct topic_page
{
  std::vector<keyed_record> mRecords;
  /// The offset behind the topic's last record.
  std::uint64_t mEnd = 0;
  /// True when keys follow that the page had no room for.
  bool mHasMore = false;
};

}
