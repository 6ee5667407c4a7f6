#include <LibOnce/ClaimBatcher.h>

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace lycheeseam {

claim_batcher::claim_batcher(instance_identity aSelf, batch_limits aLimits)
  : mSelf(std::move(aSelf))
  , mLimits(aLimits)
{
}

void
claim_batcher::Add(instant aNow, request_claim aClaim)
{
  mClaims.push_back(std::move(aClaim));
  if (!mClaimsSince)
    mClaimsSince = aNow;
}

void
claim_batcher::Add(instant aNow, request_outcome aOutcome)
{
  if (aOutcome.mBody.size() > mLimits.mMaxBodyBytes)
    aOutcome.mBody.clear();
  mOutcomeBytes += aOutcome.mBody.size();
  mOutcomes.push_back(std::move(aOutcome));
  if (!mOutcomesSince)
    mOutcomesSince = aNow;
}

std::vector<log_record>
claim_batcher::Due(instant aNow, log_offset aTail)
{
  std::vector<log_record> records;
  if (IsDue(aNow, mClaimsSince, mClaims.size())) {
    mClaimsSince.reset();
    records.emplace_back(request_claim_batch{
      .mOrigin = NextOrigin(aTail), .mClaims = std::exchange(mClaims, {}) });
  }
  bool const isLarge = mOutcomeBytes >= mLimits.mFlushBytes;
  if (isLarge || IsDue(aNow, mOutcomesSince, mOutcomes.size()))
    SealOutcomes(aTail, aNow);
  for (auto& [proposal, unconfirmed] : mUnconfirmed) {
    if (aNow < unconfirmed.mRetryAt)
      continue;
    unconfirmed.mRetryAt = aNow + mLimits.mRetryAfter;
    records.emplace_back(unconfirmed.mBatch);
  }
  return records;
}

void
claim_batcher::OnEntry(log_entry const& aEntry)
{
  if (request_outcome_batch const* outcomes =
        std::get_if<request_outcome_batch>(&aEntry.mRecord))
    mUnconfirmed.erase(outcomes->mOrigin.mProposal);
}

std::optional<instant>
claim_batcher::NextWake() const
{
  std::optional<instant> next;
  auto const keepEarliest = [&next](instant aCandidate) {
    next = std::min(next.value_or(aCandidate), aCandidate);
  };
  if (mClaimsSince)
    keepEarliest(*mClaimsSince + mLimits.mDelay);
  if (mOutcomesSince)
    keepEarliest(*mOutcomesSince + mLimits.mDelay);
  for (auto const& [proposal, unconfirmed] : mUnconfirmed)
    keepEarliest(unconfirmed.mRetryAt);
  return next;
}

record_origin
claim_batcher::NextOrigin(log_offset aTail)
{
  ++mBatches;
  std::string const name = "once-" + mSelf.mInstance.Text() + "-" +
                           std::to_string(mSelf.mIncarnation.Value()) + "-" +
                           std::to_string(mBatches);
  return { .mProposal = proposal_id{ name },
           .mInstance = mSelf.mInstance,
           .mIncarnation = mSelf.mIncarnation,
           .mLastOffset = log_offset{ aTail.Value() + mLimits.mClaimOffsets } };
}

void
claim_batcher::SealOutcomes(log_offset aTail, instant aNow)
{
  request_outcome_batch batch{ .mOrigin = NextOrigin(aTail),
                               .mOutcomes = std::exchange(mOutcomes, {}) };
  // An outcome stays true however late it lands, so it has no last offset.
  batch.mOrigin.mLastOffset =
    log_offset{ std::numeric_limits<std::uint64_t>::max() };
  proposal_id const proposal = batch.mOrigin.mProposal;
  mUnconfirmed.emplace(
    proposal,
    unconfirmed_outcomes{ .mBatch = std::move(batch), .mRetryAt = aNow });
  mOutcomeBytes = 0;
  mOutcomesSince.reset();
}

bool
claim_batcher::IsDue(instant aNow,
                     std::optional<instant> const& aSince,
                     std::size_t aEntries) const
{
  if (!aSince)
    return false;
  return aEntries >= mLimits.mFlushEntries || aNow >= *aSince + mLimits.mDelay;
}

}
