#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibLimits/BudgetTiming.h>
#include <LibLimits/SlotFold.h>

#include <map>
#include <vector>

namespace lycheeseam {

/// Records when each peer's last message arrived, to report unresponsive slot
/// holders in quorum answers.
class peer_activity
{
public:
  explicit peer_activity(budget_timing aTiming);

  /// Must be called at least every mUnresponsiveAfter / 4. After a longer gap
  /// messages may have been missed, so the observation starts over.
  void OnTick(instant aNow);

  /// Records a message that the peer sent recently.
  void RecordMessage(instant aNow, instance_id const& aPeer);

  /// Present and former slot holders without a message for mUnresponsiveAfter;
  /// none until this instance has observed for that long.
  [[nodiscard]] std::vector<instance_id> Unresponsive(
    instant aNow,
    slot_fold const& aSlots) const;

private:
  budget_timing mTiming;
  bool mStarted = false;
  instant mListeningSince;
  instant mTickedAt;
  std::map<instance_id, instant> mLastMessageAt;
};

}
