#pragma once

#include <LibStore/KeyedRecord.h>

#include <vector>

namespace lycheeseam {

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
