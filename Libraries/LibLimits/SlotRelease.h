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

/// Decides when a slot that this instance claimed is surely let go by all who
/// held it before, so that it may open.
///
/// A former holder has let go when it says that it folded the claim, or when
/// the holders of more than half of the slots say, asked after the claim was
/// read, that it is silent. A claim may land long after it was sent, so what
/// was known when it was sent proves nothing.
class slot_release
{
public:
  slot_release(instance_identity aSelf, budget_timing aTiming);

  /// Follows the slots' holders.
  void OnSlots(instant aNow, slot_fold const& aSlots);

  /// Any instance's answer to a probe, this one's own included.
  void OnWord(quorum_answer const& aWord);

  /// The claimed slots that are let go now; each is named once.
  std::vector<slot_id> TakeReleased(instant aNow);

  /// Whether a slot still waits for its former holders.
  [[nodiscard]] bool IsWaiting() const noexcept { return !mPending.empty(); }

private:
  struct pending_slot
  {
    log_offset mClaim;
    instant mReadAt;
    std::vector<instance_id> mFormer;
  };

  [[nodiscard]] bool IsLetGo(instant aNow,
                             pending_slot const& aPending,
                             instance_id const& aFormer) const;
  [[nodiscard]] bool IsSilent(instant aNow,
                              pending_slot const& aPending,
                              instance_id const& aFormer) const;

  instance_identity mSelf;
  budget_timing mTiming;
  std::uint32_t mSlots = 0;
  /// The claims that were pending or released.
  std::map<slot_id, log_offset> mSeen;
  std::map<slot_id, pending_slot> mPending;
  std::map<instance_id, quorum_answer> mWords;
};

}
