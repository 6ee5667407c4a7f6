#pragma once

#include <LibConfig/FencingSupport.h>
#include <LibOrders/LeaseFold.h>
#include <LibOrders/LeaseTiming.h>

#include <map>
#include <optional>

namespace lycheeseam {

/// Takes and keeps the lease of one pool for this instance.
///
/// A lease counts for its holder from before its grant was appended, and for
/// all others from when they read it, so the holder stops first. A candidate
/// waits the lease out once, or twice when an engine ignores fencing numbers.
class lease_holder
{
public:
  lease_holder(instance_identity aSelf, pool_name aPool, lease_timing aTiming);

  /// Follows the pool's lease; call it after each entry that was folded.
  void OnLease(instant aNow, lease_fold const& aLeases);

  /// The grant to append now, if any. aRank is this instance's place among
  /// the candidates, 0 for the first.
  std::optional<lease_grant> Due(instant aNow,
                                 fencing_support aFencing,
                                 std::uint32_t aRank,
                                 log_offset aTail);

  /// The fencing number for an order that is sent right now, or nothing when
  /// the lease is not held or about to end. Call it for each order: after a
  /// pause the clock tells that the lease is over.
  [[nodiscard]] std::optional<fencing_number> MayOrder(instant aNow) const;

private:
  [[nodiscard]] bool IsOwn() const;
  [[nodiscard]] instant NextGrantAt(fencing_support aFencing,
                                    std::uint32_t aRank) const;

  instance_identity mSelf;
  pool_name mPool;
  lease_timing mTiming;
  std::optional<lease> mLease;
  /// When this instance read the lease, or first looked.
  instant mReadAt;
  bool mHasLooked = false;
  std::uint64_t mGrants = 0;
  std::optional<instant> mAppendedAt;
  /// When each grant on its way was handed out.
  std::map<proposal_id, instant> mSentAt;
};

}
