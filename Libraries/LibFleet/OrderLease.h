#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibFleet/LeaseRecord.h>

#include <cstdint>
#include <optional>

namespace lycheeseam {

/// Whether this instance may give orders to engines.
///
/// A lease is a record that its holder appended to the store on condition that
/// it follows the newest one; its offset is the fencing number. It counts for
/// its holder from before it was sent, and for a successor from when it first
/// heard of it; since each record follows the newest one, no later record of
/// the holder can have escaped it. So the two never give orders at the same
/// time, and an idle holder is succeeded at once.
class order_lease
{
public:
  order_lease(instance_id aSelf, duration aTerm);

  /// The store's newest record and the offset behind it were read.
  void OnRead(instant aNow,
              std::optional<lease_record> const& aNewest,
              std::uint64_t aEnd);

  /// A record of this instance is being sent.
  void OnSend(instant aNow) { mSentAt = aNow; }

  /// The record that was sent last stands at an offset.
  void OnAppended(std::uint64_t aOffset);

  /// Another record stands where this instance's should have, or it isn't
  /// known whether it stands: the topic must be read again.
  void OnUncertain();

  /// A peer holds the lease of an offset.
  void OnPeerLease(instant aNow, std::uint64_t aOffset);

  /// The offset at which the next own record must stand; nothing when the
  /// topic must be read first.
  [[nodiscard]] std::optional<std::uint64_t> AppendAt() const { return mEnd; }

  /// True when this instance holds the lease, though perhaps too old to act on.
  [[nodiscard]] bool IsHeld() const noexcept { return mHeld.has_value(); }

  /// True when a record is to be sent to go on giving orders.
  [[nodiscard]] bool IsRenewalDue(instant aNow) const;

  /// The fencing number for an order that is sent now, or nothing.
  [[nodiscard]] std::optional<std::uint64_t> MayOrder(instant aNow) const;

  /// The offset of the held lease; 0 without one.
  [[nodiscard]] std::uint64_t Held() const { return mHeld.value_or(0); }

private:
  void NoteOther(instant aNow, std::uint64_t aOffset);

  instance_id mSelf;
  duration mTerm;
  instant mSentAt{};
  /// From when on orders may be given.
  instant mNotBefore{};
  instant mHeldFrom{};
  std::optional<std::uint64_t> mHeld;
  std::optional<std::uint64_t> mEnd;
  /// The newest record of another instance, and since when it is known.
  std::optional<std::uint64_t> mOther;
  instant mOtherSince{};
  /// True while the newest record is another instance's.
  bool mFollowsOther = false;
};

}
