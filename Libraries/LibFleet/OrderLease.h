#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibFleet/LeaseRecord.h>
#include <LibStore/StorePosition.h>

#include <cstdint>
#include <optional>

namespace lycheeseam {

/// Decides whether this instance may give orders to engines.
///
/// A lease is a record that its holder appends to the store on the condition
/// that it directly follows the newest record; the number of its position is
/// the fencing number. Its term starts for the holder when the holder sends the
/// record, and for a successor when the successor first learns of it. The
/// condition ensures that a successor whose append succeeds has missed no later
/// record of the holder. So two instances never give orders at the same time,
/// and an idle holder, whose term is long over, is succeeded at once. A store
/// that comes back from an older copy may lack the newest record; no orders are
/// given then until the term of a lease that was granted before is over.
///
/// A record that another instance has put in the place of this one's shows a
/// holder that no peer reports. This instance leaves the lease to it for a
/// term: if both took it at once again, neither would hold it for long enough
/// to give orders.
class order_lease
{
public:
  order_lease(instance_id aSelf, duration aTerm);

  /// The newest record of the topic and the position after it have been read.
  void OnRead(instant aNow,
              std::optional<lease_record> const& aNewest,
              store_position aEnd);

  /// A record of this instance is being sent.
  void OnSend(instant aNow) { mSentAt = aNow; }

  /// The record that was sent last has been appended.
  void OnAppended(store_position aPosition);

  /// The store is in that era. A later one than before means that it has come
  /// back from an older copy of itself.
  void OnStoreEra(instant aNow, store_era aEra);

  /// Another record is at the position of this instance's: the topic must be
  /// read again.
  void OnConflict();

  /// It isn't known whether the append succeeded: the topic must be read again.
  void Invalidate();

  /// The store refused to append the record that was sent last.
  void OnRefused(instant aNow)
  {
    if (!mRefusedSince)
      mRefusedSince = aNow;
  }

  /// True when the store has refused to renew the lease for so long that
  /// another instance should hold it.
  [[nodiscard]] bool IsLost(instant aNow) const;

  /// A peer holds the lease with that number.
  void OnPeerLease(instant aNow, std::uint64_t aNumber);

  /// The position at which to append this instance's next record; empty when
  /// the topic must be read first.
  [[nodiscard]] std::optional<store_position> AppendPosition() const
  {
    return mTopicEnd;
  }

  /// True while the lease must be left to another holder.
  [[nodiscard]] bool IsLeftToOther(instant aNow) const;

  /// True when this instance holds the lease, even if its term is over.
  [[nodiscard]] bool IsHeld() const noexcept { return mHeldNumber.has_value(); }

  /// True when the lease must be renewed so that orders can go on.
  [[nodiscard]] bool IsRenewalDue(instant aNow) const;

  /// The fencing number for an order that is sent now; empty when none may be
  /// sent.
  [[nodiscard]] std::optional<std::uint64_t> FencingNumber(instant aNow) const;

  /// The number of the held lease; 0 without one.
  [[nodiscard]] std::uint64_t HeldNumber() const
  {
    return mHeldNumber.value_or(0);
  }

private:
  void RecordOther(instant aNow, std::uint64_t aNumber);

  instance_id mSelf;
  duration mTerm;
  instant mSentAt{};
  /// The earliest time at which orders may be given.
  instant mNotBefore{};
  /// The newest known era of the store; empty before the first one is known.
  std::optional<store_era> mEra;
  /// When the term of any lease is over that was granted before the store was
  /// restored.
  instant mRestoredTermEnd{};
  /// When the record of the held lease was sent.
  instant mHeldSince{};
  std::optional<std::uint64_t> mHeldNumber;
  /// Since when the store has refused all appends; empty after a success.
  std::optional<instant> mRefusedSince;
  /// The position after the newest record; empty when the topic must be read.
  std::optional<store_position> mTopicEnd;
  /// The number of the newest record of another instance, and when this
  /// instance first learned of it.
  std::optional<std::uint64_t> mOtherNumber;
  instant mOtherSince{};
  /// True while the newest record is another instance's.
  bool mIsOtherNewest = false;
  /// True after a conflict, until a peer reports the lease of the other holder
  /// or this instance has appended a record.
  bool mHasConflict = false;
};

}
