#pragma once

#include <LibOnce/ClaimEntry.h>
#include <LibOnce/ClaimState.h>
#include <LibOnce/ClaimWindow.h>
#include <LibRecords/LogEntry.h>

#include <deque>
#include <map>
#include <set>

namespace lycheeseam {

/// Derives from the log which claim gives the right to run each request with an
/// idempotency key. The first claim in log order holds the key until its owner
/// reports that the request was not run, or until the claim expires.
class claim_fold
{
public:
  explicit claim_fold(claim_window aWindow = {})
    : mWindow(aWindow)
  {
  }

  /// Applies the next entry in log order.
  void Apply(log_entry const& aEntry);

  /// Returns the complete state, for a checkpoint or a snapshot.
  [[nodiscard]] claim_state State() const;

  /// Replaces the state by that of a checkpoint or of a peer's snapshot.
  void Restore(claim_state const& aState);

  /// Returns the claim that holds the key, or null.
  [[nodiscard]] claim_entry const* Find(request_key const& aKey) const;

  /// Whether the table is full, so that further claims are refused.
  [[nodiscard]] bool IsFull() const noexcept
  {
    return mClaims.size() >= mWindow.mMaxClaims;
  }

  /// Returns the number of claims in the table.
  [[nodiscard]] std::size_t Size() const noexcept { return mClaims.size(); }

  /// Returns the total size of the stored answers, in bytes.
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
  void RecordOutcome(log_offset aOffset,
                     claim_entry& aEntry,
                     request_outcome const& aOutcome);
  void Erase(std::map<request_key, claim_entry>::iterator aEntry);
  void DropBody(claim_entry& aEntry);
  void Expire(log_offset aOffset);

  claim_window mWindow;
  std::map<request_key, claim_entry> mClaims;
  /// Released claims, which are ignored if they land afterwards.
  std::set<claim_identity> mReleased;
  /// Claims and releases to expire, oldest first.
  std::deque<aged_key> mClaimAges;
  std::deque<aged_release> mReleaseAges;
  /// Keys with stored answers, in the order in which the answers are dropped.
  std::deque<aged_key> mBodyAges;
  std::size_t mBodyBytes = 0;
};

}
