#include <LibOnce/OnceGate.h>

#include <algorithm>
#include <utility>

namespace lycheeseam {

namespace {

/// The maximum time between the decision Run and sending the request; far less
/// than the log takes to grow by claim_window::mOffsets entries, after which
/// the claim expires.
constexpr duration kMaxDispatchDelay = std::chrono::seconds{ 5 };

}

once_gate::once_gate(instance_identity aSelf,
                     batch_limits aLimits,
                     claim_window aWindow)
  : mSelf(aSelf)
  , mFold(aWindow)
  , mBatcher(std::move(aSelf), aLimits)
{
}

void
once_gate::OnEntry(log_entry const& aEntry)
{
  mFold.Apply(aEntry);
  mBatcher.OnEntry(aEntry);
}

bool
once_gate::MayDispatch(instant aNow, request_id const& aId) const
{
  auto const found = mRunning.find(aId);
  return found != mRunning.end() &&
         aNow <= found->second.mDecidedAt + kMaxDispatchDelay;
}

void
once_gate::End(instant aNow, request_id const& aId, request_outcome aOutcome)
{
  auto const found = mRunning.find(aId);
  if (found == mRunning.end())
    return;
  running_request const running = found->second;
  mRunning.erase(found);
  if (!running.mKey)
    return;
  aOutcome.mKey = *running.mKey;
  aOutcome.mNumber = running.mClaim;
  mBatcher.Add(aNow, std::move(aOutcome));
}

std::vector<log_record>
once_gate::TakeRecords(instant aNow, log_offset aTail)
{
  return mBatcher.Due(aNow, aTail);
}

std::vector<once_decision>
once_gate::TakeDecisions()
{
  return std::exchange(mDecisions, {});
}

std::optional<instant>
once_gate::NextWake() const
{
  std::optional<instant> next = mBatcher.NextWake();
  for (auto const& [id, waiting] : mWaiting) {
    instant const deadline = waiting.mRequest.mDeadline;
    next = std::min(next.value_or(deadline), deadline);
  }
  return next;
}

void
once_gate::Run(instant aNow, waiting_request const& aWaiting)
{
  running_request running{ .mDecidedAt = aNow };
  if (aWaiting.mClaim) {
    running.mKey = aWaiting.mRequest.mKey;
    running.mClaim = *aWaiting.mClaim;
  }
  mRunning.insert_or_assign(aWaiting.mRequest.mId, running);
  Decide(aWaiting.mRequest.mId, once_action::Run);
}

void
once_gate::Decide(request_id const& aId,
                  once_action aAction,
                  std::optional<request_outcome> aOutcome)
{
  mDecisions.push_back(
    { .mId = aId, .mAction = aAction, .mOutcome = std::move(aOutcome) });
}

void
once_gate::Claim(instant aNow, waiting_request& aWaiting)
{
  mLastClaim = mLastClaim.Next();
  aWaiting.mClaim = mLastClaim;
  mBatcher.Add(aNow,
               request_claim{ .mKey = *aWaiting.mRequest.mKey,
                              .mFingerprint = aWaiting.mRequest.mFingerprint,
                              .mNumber = mLastClaim });
}

void
once_gate::Release(instant aNow, waiting_request const& aWaiting)
{
  mBatcher.Add(aNow,
               request_outcome{ .mKey = *aWaiting.mRequest.mKey,
                                .mNumber = *aWaiting.mClaim,
                                .mVerdict = verdict::NotRun });
}

bool
once_gate::IsOwn(waiting_request const& aWaiting,
                 claim_entry const& aEntry) const
{
  return aWaiting.mClaim && aEntry.mClaim.mOwner == mSelf &&
         aEntry.mClaim.mNumber == *aWaiting.mClaim;
}

bool
once_gate::SettleByOwner(waiting_request const& aWaiting,
                         claim_entry const& aEntry,
                         bool aOwnerIsAlive)
{
  request_id const& id = aWaiting.mRequest.mId;
  if (aEntry.mFingerprint != aWaiting.mRequest.mFingerprint) {
    Decide(id, once_action::RefuseKeyReused);
    return true;
  }
  if (aEntry.mOutcome && aEntry.mOutcome->mVerdict == verdict::Ran) {
    Decide(id, once_action::Replay, aEntry.mOutcome);
    return true;
  }
  if (aEntry.mOutcome || !aOwnerIsAlive) {
    Decide(id, once_action::RefuseMayHaveRun);
    return true;
  }
  return false;
}

bool
once_gate::Expire(instant aNow, waiting_request const& aWaiting)
{
  if (aNow < aWaiting.mRequest.mDeadline)
    return false;
  claim_entry const* const entry = mFold.Find(*aWaiting.mRequest.mKey);
  if (aWaiting.mClaim)
    Release(aNow, aWaiting);
  // Another request holds the key and has not ended.
  bool const isHeldByOther = entry != nullptr && !IsOwn(aWaiting, *entry);
  Decide(aWaiting.mRequest.mId,
         isHeldByOther ? once_action::RefuseMayHaveRun
                       : once_action::RefuseLogUnreachable);
  return true;
}

void
once_gate::Reclaim(instant aNow,
                   waiting_request& aWaiting,
                   claim_entry const* aEntry)
{
  bool const isHeldByOther = aEntry != nullptr && !IsOwn(aWaiting, *aEntry);
  if (isHeldByOther && aWaiting.mClaim) {
    // The claim loses, now or when it lands. It is released so that it does not
    // win later, after the other request has released the key.
    Release(aNow, aWaiting);
    aWaiting.mClaim.reset();
  }
  if (aEntry == nullptr && !aWaiting.mClaim)
    Claim(aNow, aWaiting);
}

}
