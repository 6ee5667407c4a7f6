#pragma once

#include <LibOnce/ClaimBatcher.h>
#include <LibOnce/ClaimFold.h>
#include <LibOnce/LogState.h>
#include <LibOnce/OnceDecision.h>
#include <LibOnce/OnceRequest.h>
#include <LibOnce/OwnerLiveness.h>

#include <map>
#include <optional>
#include <vector>

namespace lycheeseam {

/// Runs each non-idempotent request with an idempotency key at most once, over
/// all instances and restarts.
///
/// The instances share the platform's log: an instance appends a claim for the
/// key, runs the request when its claim is the first in the log, and appends
/// the outcome, which answers repeats of the request.
class once_gate
{
public:
  once_gate(instance_identity aSelf,
            batch_limits aLimits,
            claim_window aWindow);

  /// Starts on a new request. TakeDecisions returns its decision, at once or
  /// after the log has shown which claim holds the key. An idempotent request,
  /// or one without a key, needs no claim and is decided to run at once.
  template<owner_liveness Liveness>
  void Begin(instant aNow,
             once_request const& aRequest,
             log_state aLog,
             Liveness const& aIsAlive);

  /// Applies the next entry of the log.
  void OnEntry(log_entry const& aEntry);

  /// Replaces the claims by those of a checkpoint or of a peer's snapshot.
  void Restore(claim_state const& aState) { mFold.Restore(aState); }

  /// Decides the requests that the entries read or the time passed allow.
  template<owner_liveness Liveness>
  void Tick(instant aNow, Liveness const& aIsAlive);

  /// Whether a request with the decision Run may still be sent. Call it right
  /// before sending: after a long pause the claim may have expired.
  [[nodiscard]] bool MayDispatch(instant aNow, request_id const& aId) const;

  /// Records how a request with the decision Run ended. NotRun releases its
  /// key.
  void End(instant aNow, request_id const& aId, request_outcome aOutcome);

  /// Returns the records to append now.
  std::vector<log_record> TakeRecords(instant aNow, log_offset aTail);

  /// Returns the decisions made since the last call.
  [[nodiscard]] std::vector<once_decision> TakeDecisions();

  /// Returns the time at which Tick or TakeRecords has work next.
  [[nodiscard]] std::optional<instant> NextWake() const;

  [[nodiscard]] claim_fold const& Claims() const noexcept { return mFold; }

private:
  struct waiting_request
  {
    once_request mRequest;
    /// Set while this instance has a claim for the request.
    std::optional<claim_number> mClaim;
  };

  struct running_request
  {
    std::optional<request_key> mKey;
    claim_number mClaim;
    instant mDecidedAt;
  };

  void Run(instant aNow, waiting_request const& aWaiting);
  void Decide(request_id const& aId,
              once_action aAction,
              std::optional<request_outcome> aOutcome = std::nullopt);
  void Claim(instant aNow, waiting_request& aWaiting);
  void Release(instant aNow, waiting_request const& aWaiting);
  template<owner_liveness Liveness>
  [[nodiscard]] bool Settle(instant aNow,
                            waiting_request const& aWaiting,
                            claim_entry const& aEntry,
                            Liveness const& aIsAlive);
  [[nodiscard]] bool SettleByOwner(waiting_request const& aWaiting,
                                   claim_entry const& aEntry,
                                   bool aOwnerIsAlive);
  [[nodiscard]] bool IsOwn(waiting_request const& aWaiting,
                           claim_entry const& aEntry) const;
  void Reclaim(instant aNow,
               waiting_request& aWaiting,
               claim_entry const* aEntry);
  [[nodiscard]] bool Expire(instant aNow, waiting_request const& aWaiting);

  instance_identity mSelf;
  claim_fold mFold;
  claim_batcher mBatcher;
  claim_number mLastClaim;
  std::map<request_id, waiting_request> mWaiting;
  std::map<request_id, running_request> mRunning;
  std::vector<once_decision> mDecisions;
};

template<owner_liveness Liveness>
void
once_gate::Begin(instant aNow,
                 once_request const& aRequest,
                 log_state aLog,
                 Liveness const& aIsAlive)
{
  waiting_request waiting{ .mRequest = aRequest };
  bool const needsClaim =
    aRequest.mKey && aRequest.mIdempotency == idempotency::NonIdempotent;
  if (!needsClaim) {
    Run(aNow, waiting);
    return;
  }
  claim_entry const* const entry = mFold.Find(*aRequest.mKey);
  if (entry != nullptr) {
    if (!Settle(aNow, waiting, *entry, aIsAlive))
      mWaiting.emplace(aRequest.mId, std::move(waiting));
    return;
  }
  if (aLog == log_state::Unreachable) {
    Decide(aRequest.mId, once_action::RefuseLogUnreachable);
    return;
  }
  if (mFold.IsFull()) {
    Decide(aRequest.mId, once_action::RefuseFull);
    return;
  }
  Claim(aNow, waiting);
  mWaiting.emplace(aRequest.mId, std::move(waiting));
}

template<owner_liveness Liveness>
void
once_gate::Tick(instant aNow, Liveness const& aIsAlive)
{
  for (auto next = mWaiting.begin(); next != mWaiting.end();) {
    waiting_request& waiting = next->second;
    claim_entry const* const entry = mFold.Find(*waiting.mRequest.mKey);
    bool const isDecided =
      (entry != nullptr && Settle(aNow, waiting, *entry, aIsAlive)) ||
      Expire(aNow, waiting);
    if (isDecided) {
      next = mWaiting.erase(next);
      continue;
    }
    Reclaim(aNow, waiting, entry);
    ++next;
  }
}

template<owner_liveness Liveness>
bool
once_gate::Settle(instant aNow,
                  waiting_request const& aWaiting,
                  claim_entry const& aEntry,
                  Liveness const& aIsAlive)
{
  if (!IsOwn(aWaiting, aEntry)) {
    instance_identity const& owner = aEntry.mClaim.mOwner;
    // Its number may be higher, as it comes from the time of day.
    bool const isEarlierIncarnation = owner.mInstance == mSelf.mInstance &&
                                      owner.mIncarnation != mSelf.mIncarnation;
    return SettleByOwner(
      aWaiting, aEntry, !isEarlierIncarnation && aIsAlive(owner));
  }
  // After its deadline the request is refused as not run, and its claim is
  // released.
  if (aNow >= aWaiting.mRequest.mDeadline)
    return false;
  Run(aNow, aWaiting);
  return true;
}

}
