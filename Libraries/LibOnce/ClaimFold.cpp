#include <LibOnce/ClaimFold.h>
#include <LibRecords/LogFold.h>

#include <algorithm>

namespace lycheeseam {

static_assert(log_fold<claim_fold>);

namespace {

template<typename Batch>
instance_identity
OwnerOf(Batch const& aBatch)
{
  return { .mInstance = aBatch.mOrigin.mInstance,
           .mIncarnation = aBatch.mOrigin.mIncarnation };
}

}

void
claim_fold::Apply(log_entry const& aEntry)
{
  Expire(aEntry.mOffset);
  if (request_claim_batch const* claims =
        std::get_if<request_claim_batch>(&aEntry.mRecord))
    ApplyClaims(aEntry.mOffset, *claims);
  // An outcome is applied however late it lands, since it states a fact.
  if (request_outcome_batch const* outcomes =
        std::get_if<request_outcome_batch>(&aEntry.mRecord))
    for (request_outcome const& outcome : outcomes->mOutcomes)
      ApplyOutcome(aEntry.mOffset, OwnerOf(*outcomes), outcome);
}

claim_state
claim_fold::State() const
{
  claim_state state;
  state.mClaims.reserve(mClaims.size());
  state.mReleases.reserve(mReleaseAges.size());
  for (auto const& [key, entry] : mClaims)
    state.mClaims.push_back({ .mKey = key, .mEntry = entry });
  for (aged_release const& release : mReleaseAges) {
    state.mReleases.push_back(
      { .mOffset = release.mOffset, .mClaim = release.mClaim });
  }
  return state;
}

void
claim_fold::Restore(claim_state const& aState)
{
  *this = claim_fold{ mWindow };
  for (kept_claim const& kept : aState.mClaims) {
    claim_entry const& entry = kept.mEntry;
    mClaims.emplace(kept.mKey, entry);
    mClaimAges.push_back({ .mOffset = entry.mOffset, .mKey = kept.mKey });
    if (!entry.mOutcome || entry.mOutcome->mBody.empty())
      continue;
    mBodyBytes += entry.mOutcome->mBody.size();
    mBodyAges.push_back({ .mOffset = entry.mOffset, .mKey = kept.mKey });
  }
  // The state is sorted by key; the ages are sorted by offset, oldest first.
  std::ranges::sort(mClaimAges, {}, &aged_key::mOffset);
  std::ranges::sort(mBodyAges, {}, &aged_key::mOffset);
  for (kept_release const& kept : aState.mReleases) {
    mReleased.insert(kept.mClaim);
    mReleaseAges.push_back({ .mOffset = kept.mOffset, .mClaim = kept.mClaim });
  }
}

claim_entry const*
claim_fold::Find(request_key const& aKey) const
{
  auto const found = mClaims.find(aKey);
  return found == mClaims.end() ? nullptr : &found->second;
}

void
claim_fold::ApplyClaims(log_offset aOffset, request_claim_batch const& aBatch)
{
  if (aOffset > aBatch.mOrigin.mLastOffset)
    return;
  for (request_claim const& claim : aBatch.mClaims) {
    claim_identity const identity{ .mOwner = OwnerOf(aBatch),
                                   .mNumber = claim.mNumber };
    // The release is kept, since the same claim may land a second time.
    if (mReleased.contains(identity))
      continue;
    if (IsFull() || mClaims.contains(claim.mKey))
      continue;
    mClaims.emplace(claim.mKey,
                    claim_entry{ .mClaim = identity,
                                 .mFingerprint = claim.mFingerprint,
                                 .mOffset = aOffset });
    mClaimAges.push_back({ .mOffset = aOffset, .mKey = claim.mKey });
  }
}

void
claim_fold::ApplyOutcome(log_offset aOffset,
                         instance_identity const& aOwner,
                         request_outcome const& aOutcome)
{
  claim_identity const identity{ .mOwner = aOwner,
                                 .mNumber = aOutcome.mNumber };
  auto const found = mClaims.find(aOutcome.mKey);
  bool const isHolder =
    found != mClaims.end() && found->second.mClaim == identity;
  if (aOutcome.mVerdict == verdict::NotRun) {
    bool const isOpen = isHolder && !found->second.mOutcome;
    if (isOpen)
      Erase(found);
    // The claim may still land, or land a second time.
    if ((isOpen || !isHolder) && mReleased.insert(identity).second)
      mReleaseAges.push_back({ .mOffset = aOffset, .mClaim = identity });
    return;
  }
  if (isHolder && !found->second.mOutcome)
    RecordOutcome(aOffset, found->second, aOutcome);
}

void
claim_fold::RecordOutcome(log_offset aOffset,
                          claim_entry& aEntry,
                          request_outcome const& aOutcome)
{
  aEntry.mOutcome = aOutcome;
  if (aOutcome.mBody.empty())
    return;
  mBodyBytes += aOutcome.mBody.size();
  mBodyAges.push_back({ .mOffset = aOffset, .mKey = aOutcome.mKey });
  while (mBodyBytes > mWindow.mMaxTotalBodyBytes) {
    auto const oldest = mClaims.find(mBodyAges.front().mKey);
    mBodyAges.pop_front();
    if (oldest != mClaims.end())
      DropBody(oldest->second);
  }
}

void
claim_fold::Erase(std::map<request_key, claim_entry>::iterator aEntry)
{
  DropBody(aEntry->second);
  mClaims.erase(aEntry);
}

void
claim_fold::DropBody(claim_entry& aEntry)
{
  if (!aEntry.mOutcome)
    return;
  mBodyBytes -= aEntry.mOutcome->mBody.size();
  aEntry.mOutcome->mBody.clear();
}

void
claim_fold::Expire(log_offset aOffset)
{
  auto const isOld = [&](log_offset aAge) {
    return aAge.Value() + mWindow.mOffsets < aOffset.Value();
  };
  while (!mClaimAges.empty() && isOld(mClaimAges.front().mOffset)) {
    auto const found = mClaims.find(mClaimAges.front().mKey);
    // The key may have been released and claimed again since.
    if (found != mClaims.end() &&
        found->second.mOffset == mClaimAges.front().mOffset)
      Erase(found);
    mClaimAges.pop_front();
  }
  while (!mReleaseAges.empty() && isOld(mReleaseAges.front().mOffset)) {
    mReleased.erase(mReleaseAges.front().mClaim);
    mReleaseAges.pop_front();
  }
  while (!mBodyAges.empty() && isOld(mBodyAges.front().mOffset))
    mBodyAges.pop_front();
}

}
