#pragma once

#include <LibConfig/FencingSupport.h>
#include <LibOrders/LeaseFold.h>
#include <LibOrders/LeaseTiming.h>

#include <map>
#include <optional>

namespace lycheeseam {

/// Acquires and renews the lease of one pool for this instance.
///
/// The holder counts the term from before it appended the grant, all other
/// candidates from when they read it, so the holder stops giving orders first.
/// A candidate waits for one term, or for two when an engine ignores fencing
/// numbers.
class lease_holder
{
public:
  lease_holder(instance_identity aSelf, pool_name aPool, lease_timing aTiming);

  /// Reads the pool's lease from the fold. Call it after each applied entry.
  void OnLease(instant aNow, lease_fold const& aLeases);

  /// Returns the grant to append now, if any. aRank is the position of this
  /// instance among the candidates, 0 for the first.
  std::optional<lease_grant> Due(instant aNow,
                                 fencing_support aFencing,
                                 std::uint32_t aRank,
                                 log_offset aTail);

  /// Returns the fencing number for an order that is sent right now, or nothing
  /// when this instance does not hold the lease or the lease is about to end.
  /// Call it for each order: the lease may have ended during a pause.
  [[nodiscard]] std::optional<fencing_number> MayOrder(instant aNow) const;

private:
  [[nodiscard]] bool IsOwn() const;
  [[nodiscard]] instant NextGrantAt(fencing_support aFencing,
                                    std::uint32_t aRank) const;

  instance_identity mSelf;
  pool_name mPool;
  lease_timing mTiming;
  std::optional<lease> mLease;
  /// When this instance read the newest lease, or first read the fold.
  instant mReadAt;
  bool mHasRead = false;
  std::uint64_t mGrants = 0;
  std::optional<instant> mAppendedAt;
  /// When Due returned each grant whose term has not ended.
  std::map<proposal_id, instant> mSentAt;
};

}
