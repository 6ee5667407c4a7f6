#pragma once

#include <LibStore/KeyedRecord.h>
#include <LibStore/StoreTopic.h>

#include <optional>
#include <vector>

namespace lycheeseam {

/// Records of a topic of the platform's store, passed on by the instance that
/// read them.
struct topic_relay
{
  store_topic mTopic = store_topic::Operators;
  /// The records are the newest of each key, rather than all that were
  /// appended.
  bool mIsSnapshot = false;
  /// The position from which on no record is left out.
  store_position mFrom;
  /// The position after the last of them.
  store_position mEnd;
  /// The position from which on the sender knows all changes; keys that were
  /// removed before it may be unknown to it. Empty when an older build sent it.
  std::optional<store_position> mCompleteFrom{};
  std::vector<keyed_record> mRecords;

  bool operator==(topic_relay const&) const = default;
};

}
