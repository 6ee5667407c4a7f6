#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibLimits/BudgetTiming.h>
#include <LibLimits/SlotFold.h>

#include <map>
#include <vector>

namespace lycheeseam {

/// Remembers when each peer was last heard, to testify who is silent.
class peer_activity
{
public:
  explicit peer_activity(budget_timing aTiming);

  /// Called at least every mSilence / 4 while the process runs: after a longer
  /// gap it may have missed messages and starts to listen anew.
  void OnTick(instant aNow);

  /// A message that the peer sent lately has come.
  void OnHeard(instant aNow, instance_id const& aPeer);

  /// The holders of slots, former ones too, that were not heard for the
  /// silence bound; none before this instance has listened that long.
  [[nodiscard]] std::vector<instance_id> Silent(instant aNow,
                                                slot_fold const& aSlots) const;

private:
  budget_timing mTiming;
  bool mStarted = false;
  instant mListeningSince;
  instant mTickedAt;
  std::map<instance_id, instant> mHeardAt;
};

}
