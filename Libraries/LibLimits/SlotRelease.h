#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibCore/Instant.h>
#include <LibLimits/BudgetTiming.h>
#include <LibLimits/QuorumAnswer.h>
#include <LibLimits/SlotFold.h>

#include <cstdint>
#include <map>
#include <vector>

namespace lycheeseam {

/// Decides when all former holders of a slot that this instance claimed have
/// stopped lending from it, so that the slot may open.
///
/// A former holder has released the slot when it answers that it has folded the
/// claim, or when the holders of more than half of the slots, probed after the
/// claim was read, report it unresponsive. A claim may be appended long after
/// it was sent, so answers to earlier probes prove nothing.
class slot_release
{
public:
  slot_release(instance_identity aSelf, budget_timing aTiming);

  /// Updates the current slot holders.
  void OnSlots(instant aNow, slot_fold const& aSlots);

  /// Records an instance's answer to a probe, this instance's own included.
  void OnQuorumAnswer(quorum_answer const& aAnswer);

  /// The claimed slots that all former holders have released; each is returned
  /// once.
  std::vector<slot_id> TakeReleased(instant aNow);

  /// Whether a claimed slot still waits for a former holder.
  [[nodiscard]] bool IsWaiting() const noexcept { return !mPending.empty(); }

private:
  struct pending_slot
  {
    log_offset mClaim;
    instant mReadAt;
    std::vector<instance_id> mFormerHolders;
  };

  [[nodiscard]] bool IsReleasedBy(instant aNow,
                                  pending_slot const& aPending,
                                  instance_id const& aFormer) const;
  [[nodiscard]] bool IsReportedUnresponsive(instant aNow,
                                            pending_slot const& aPending,
                                            instance_id const& aFormer) const;

  instance_identity mSelf;
  budget_timing mTiming;
  std::uint32_t mSlots = 0;
  /// The last known claim by this instance of each slot, pending or released.
  std::map<slot_id, log_offset> mKnownClaims;
  std::map<slot_id, pending_slot> mPending;
  std::map<instance_id, quorum_answer> mQuorumAnswers;
};

}
