#pragma once

#include <LibOnce/ClaimEntry.h>
#include <LibOnce/ClaimState.h>
#include <LibOnce/ClaimWindow.h>
#include <LibRecords/LogEntry.h>

#include <deque>
#include <map>
#include <set>

namespace lycheeseam {

/// Who may run each request that carries an idempotency key, as of the entries
/// applied. The first claim in log order has the right; it loses it only by
/// its owner's own word that the request was not run.
class claim_fold
{
public:
  explicit claim_fold(claim_window aWindow = {})
    : mWindow(aWindow)
  {
  }

  /// Takes the next entry in log order.
  void Apply(log_entry const& aEntry);

  /// Everything that the fold knows.
  [[nodiscard]] claim_state State() const;

  /// Goes on from a checkpoint or a peer's snapshot.
  void Restore(claim_state const& aState);

  /// The claim that has the right, or null.
  [[nodiscard]] claim_entry const* Find(request_key const& aKey) const;

  /// Whether further claims would be refused for want of room.
  [[nodiscard]] bool IsFull() const noexcept
  {
    return mClaims.size() >= mWindow.mMostClaims;
  }

  /// Claims that are remembered.
  [[nodiscard]] std::size_t Size() const noexcept { return mClaims.size(); }

  /// Bytes of answers that are kept.
  [[nodiscard]] std::size_t BodyBytes() const noexcept { return mBodyBytes; }

private:
  struct aged_key
  {
    log_offset mOffset;
    request_key mKey;
  };

  struct aged_release
  {
    log_offset mOffset;
    claim_identity mClaim;
  };

  void ApplyClaims(log_offset aOffset, request_claim_batch const& aBatch);
  void ApplyOutcome(log_offset aOffset,
                    instance_identity const& aOwner,
                    request_outcome const& aOutcome);
  void KeepOutcome(log_offset aOffset,
                   claim_entry& aEntry,
                   request_outcome const& aOutcome);
  void Erase(std::map<request_key, claim_entry>::iterator aEntry);
  void DropBody(claim_entry& aEntry);
  void Forget(log_offset aOffset);

  claim_window mWindow;
  std::map<request_key, claim_entry> mClaims;
  /// Claims that were released before they landed.
  std::set<claim_identity> mReleased;
  /// What to forget, the oldest first.
  std::deque<aged_key> mClaimAges;
  std::deque<aged_release> mReleaseAges;
  /// Whose answers to drop, the oldest first.
  std::deque<aged_key> mBodyAges;
  std::size_t mBodyBytes = 0;
};

}
