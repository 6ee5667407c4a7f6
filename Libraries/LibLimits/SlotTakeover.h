#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibCore/Instant.h>
#include <LibLimits/SlotFold.h>
#include <LibLimits/TakeoverTiming.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace lycheeseam {

/// Decides which slots this instance claims.
///
/// A slot that an earlier incarnation of this instance held is claimed at once,
/// free slots one after another from shortly after the start, and another
/// instance's slot when that has been missing from the platform's list for long
/// enough. An instance without a slot also takes one from a holder of several.
/// Candidates wait by rank, so that usually only one claims: the fewer slots an
/// instance holds, the earlier it claims; a hash of the slot and the instance
/// decides ties. The log decides between several claims, and slot_release makes
/// a wrong takeover harmless.
class slot_takeover
{
public:
  slot_takeover(instance_identity aSelf, takeover_timing aTiming);

  /// Records the platform's list of instances, which may be out of date.
  void OnInstanceList(instant aNow, std::span<instance_id const> aLive);

  /// The claims to append now. aTail is the newest known offset.
  std::vector<slot_claim> DueClaims(instant aNow,
                                    slot_fold const& aSlots,
                                    log_offset aTail);

private:
  [[nodiscard]] bool MayClaim(instant aNow,
                              slot_id aSlot,
                              slot_fold const& aSlots) const;
  [[nodiscard]] bool MayRebalance(instant aNow,
                                  instance_id const& aHolder,
                                  slot_fold const& aSlots) const;
  // The slots that this instance holds or has a pending claim of.
  [[nodiscard]] std::size_t ClaimedSlots(slot_fold const& aSlots) const;
  [[nodiscard]] std::size_t Rank(slot_id aSlot, slot_fold const& aSlots) const;
  slot_claim MakeClaim(slot_id aSlot, log_offset aBase, log_offset aTail);

  instance_identity mSelf;
  takeover_timing mTiming;
  bool mHasList = false;
  /// When this instance first received the list.
  instant mStartedAt;
  std::set<instance_id> mLive;
  /// Since when a holder has been missing from the list.
  std::map<instance_id, instant> mMissingSince;
  std::map<slot_id, instant> mClaimedAt;
  std::uint64_t mClaimCount = 0;
};

}
