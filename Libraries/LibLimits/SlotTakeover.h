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
/// A free slot and a slot that an earlier life of this instance held are
/// claimed at once, another's when its holder has been off the platform's
/// list for long enough. An instance without a slot also takes one from a
/// holder of several. Candidates are ranked, so that as a rule only one
/// claims; the log decides in any case, and slot_release keeps a wrong guess
/// from doing harm.
class slot_takeover
{
public:
  slot_takeover(instance_identity aSelf, takeover_timing aTiming);

  /// The platform's list, as last read; it may lag.
  void OnInstanceList(instant aNow, std::span<instance_id const> aLive);

  /// The claims to append now. aTail is the newest offset known.
  std::vector<slot_claim> Due(instant aNow,
                              slot_fold const& aSlots,
                              log_offset aTail);

private:
  [[nodiscard]] bool MayClaim(instant aNow,
                              slot_id aSlot,
                              slot_fold const& aSlots) const;
  [[nodiscard]] bool MayRebalance(instant aNow,
                                  instance_id const& aHolder,
                                  slot_fold const& aSlots) const;
  [[nodiscard]] std::size_t Rank(slot_id aSlot, slot_fold const& aSlots) const;
  slot_claim MakeClaim(slot_id aSlot, log_offset aBase, log_offset aTail);

  instance_identity mSelf;
  takeover_timing mTiming;
  bool mListed = false;
  /// When this instance first saw the list.
  instant mStartedAt;
  std::set<instance_id> mLive;
  /// Since when a holder has been off the list.
  std::map<instance_id, instant> mAbsentSince;
  std::map<slot_id, instant> mClaimedAt;
  std::uint64_t mClaims = 0;
};

}
