#include <LibDispatch/SuspectParts.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace lycheeseam {

namespace {

// Two servers may crash by coincidence while requests with a part run; a third
// crash in a row marks the part as their cause.
constexpr std::uint32_t kPoisonCrashes = 3;

// Answers that clear the parts of sound requests arrive within this time.
constexpr duration kObservationTime = std::chrono::seconds{ 1 };

// A trial costs a server and the requests on it if the part is poisonous; as
// long as none is made, a part that was suspected wrongly is refused.
constexpr duration kFirstQuarantine = std::chrono::seconds{ 30 };
constexpr duration kMaxQuarantine = std::chrono::minutes{ 2 };

// Longer than any quarantine, so that a trial comes before the evidence
// expires.
constexpr duration kEvidenceLifetime = std::chrono::minutes{ 5 };

bool
IsPoisonous(part_crashes const& aEvidence)
{
  return aEvidence.mCrashes >= kPoisonCrashes;
}

// Removes from aParts what is not in aOthers.
void
KeepCommon(std::vector<std::uint64_t>& aParts,
           std::span<std::uint64_t const> aOthers)
{
  std::erase_if(aParts, [aOthers](std::uint64_t aPart) {
    return std::find(aOthers.begin(), aOthers.end(), aPart) == aOthers.end();
  });
}

// Doubles with each crash of a trial.
duration
QuarantinePeriod(part_crashes const& aEvidence)
{
  duration period = kFirstQuarantine;
  for (std::uint32_t crashes = kPoisonCrashes;
       crashes < aEvidence.mCrashes && period < kMaxQuarantine;
       ++crashes)
    period *= 2;
  return std::min(period, kMaxQuarantine);
}

}

std::vector<part_crashes>
suspect_parts::Evidence(std::span<std::uint64_t const> aParts) const
{
  std::vector<part_crashes> evidence;
  evidence.reserve(aParts.size());
  for (std::uint64_t const part : aParts) {
    auto const found = mRecords.find(part);
    evidence.push_back(found == mRecords.end() ? part_crashes{ .mPart = part }
                                               : found->second.mEvidence);
  }
  return evidence;
}

std::vector<part_crashes>
suspect_parts::OnCrash(instant aNow, std::span<part_crashes const> aWhenSent)
{
  std::vector<std::uint64_t> parts;
  parts.reserve(aWhenSent.size());
  for (part_crashes const& evidence : aWhenSent)
    parts.push_back(evidence.mPart);
  std::vector<part_crashes> news;
  for (part_crashes evidence : aWhenSent) {
    if (evidence.mCrashes == 0)
      evidence.mCommonParts = parts;
    else
      KeepCommon(evidence.mCommonParts, parts);
    ++evidence.mCrashes;
    if (Merge(aNow, evidence))
      news.push_back(mRecords[evidence.mPart].mEvidence);
  }
  return news;
}

std::vector<part_crashes>
suspect_parts::OnAnswer(instant aNow, std::span<part_crashes const> aWhenSent)
{
  std::vector<part_crashes> news;
  for (part_crashes evidence : aWhenSent) {
    if (evidence.mCrashes == 0)
      continue;
    ++evidence.mClearances;
    evidence.mCrashes = 0;
    evidence.mCommonParts.clear();
    if (Merge(aNow, evidence))
      news.push_back(evidence);
  }
  return news;
}

bool
suspect_parts::Merge(instant aNow, part_crashes const& aEvidence)
{
  record& known = mRecords[aEvidence.mPart];
  part_crashes merged = aEvidence;
  bool const isSameSuspicion =
    aEvidence.mClearances == known.mEvidence.mClearances &&
    known.mEvidence.mCrashes > 0;
  // A report that the part was cleared, which is older than the crashes since.
  if (isSameSuspicion && aEvidence.mCrashes == 0)
    return false;
  if (isSameSuspicion) {
    merged.mCrashes = std::max(merged.mCrashes, known.mEvidence.mCrashes);
    KeepCommon(merged.mCommonParts, known.mEvidence.mCommonParts);
  }
  known.mEvidence.mPart = aEvidence.mPart;
  if (merged.mClearances < known.mEvidence.mClearances ||
      merged == known.mEvidence)
    return false;
  if (!isSameSuspicion)
    known.mSuspectedAt = aNow;
  if (merged.mCrashes > known.mEvidence.mCrashes)
    known.mTrialAt = aNow + QuarantinePeriod(merged);
  known.mEvidence = std::move(merged);
  known.mChangedAt = aNow;
  return true;
}

std::vector<part_crashes>
suspect_parts::Merge(instant aNow, std::span<part_crashes const> aEvidence)
{
  std::vector<part_crashes> news;
  for (part_crashes const& evidence : aEvidence) {
    if (Merge(aNow, evidence))
      news.push_back(evidence);
  }
  return news;
}

bool
suspect_parts::IsCleared(std::uint64_t aPart) const
{
  auto const found = mRecords.find(aPart);
  return found != mRecords.end() && found->second.mEvidence.mCrashes == 0;
}

bool
suspect_parts::HasCommonParts(std::span<std::uint64_t const> aParts,
                              part_crashes const& aEvidence) const
{
  return std::all_of(
    aEvidence.mCommonParts.begin(),
    aEvidence.mCommonParts.end(),
    [&](std::uint64_t aCommon) {
      return std::find(aParts.begin(), aParts.end(), aCommon) != aParts.end() ||
             IsCleared(aCommon);
    });
}

std::optional<quarantined_part>
suspect_parts::FindQuarantined(instant aNow,
                               std::span<std::uint64_t const> aParts) const
{
  std::optional<quarantined_part> longest;
  for (std::uint64_t const part : aParts) {
    auto const found = mRecords.find(part);
    if (found == mRecords.end())
      continue;
    record const& known = found->second;
    if (!IsPoisonous(known.mEvidence) ||
        aNow - known.mSuspectedAt < kObservationTime ||
        !HasCommonParts(aParts, known.mEvidence))
      continue;
    if (!longest || known.mTrialAt > longest->mTrialAt)
      longest = { .mPart = part,
                  .mCrashes = known.mEvidence.mCrashes,
                  .mTrialAt = known.mTrialAt };
  }
  return longest;
}

void
suspect_parts::OnTrial(instant aNow, std::span<std::uint64_t const> aParts)
{
  for (std::uint64_t const part : aParts) {
    auto const found = mRecords.find(part);
    if (found != mRecords.end())
      found->second.mTrialAt = aNow + QuarantinePeriod(found->second.mEvidence);
  }
}

std::vector<part_crashes>
suspect_parts::Quarantined() const
{
  std::vector<part_crashes> quarantined;
  for (auto const& [part, known] : mRecords) {
    if (IsPoisonous(known.mEvidence))
      quarantined.push_back(known.mEvidence);
  }
  return quarantined;
}

void
suspect_parts::Prune(instant aNow)
{
  std::erase_if(mRecords, [aNow](auto const& aEntry) {
    return aNow - aEntry.second.mChangedAt >= kEvidenceLifetime;
  });
}

}
