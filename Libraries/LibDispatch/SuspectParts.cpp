#include <LibDispatch/SuspectParts.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

namespace {

// Two servers may crash by coincidence while requests with a part run; a third
// crash in a row marks the part as their cause.
constexpr std::uint32_t kPoisonCrashes = 3;

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
  std::vector<part_crashes> news;
  for (part_crashes evidence : aWhenSent) {
    ++evidence.mCrashes;
    if (Merge(aNow, evidence))
      news.push_back(evidence);
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
    if (Merge(aNow, evidence))
      news.push_back(evidence);
  }
  return news;
}

bool
suspect_parts::Merge(instant aNow, part_crashes const& aEvidence)
{
  record& known = mRecords[aEvidence.mPart];
  known.mEvidence.mPart = aEvidence.mPart;
  if (!aEvidence.IsNewerThan(known.mEvidence))
    return false;
  known = { .mEvidence = aEvidence,
            .mChangedAt = aNow,
            .mTrialAt = aNow + QuarantinePeriod(aEvidence) };
  return true;
}

std::optional<quarantined_part>
suspect_parts::FindQuarantined(std::span<std::uint64_t const> aParts) const
{
  std::optional<quarantined_part> longest;
  for (std::uint64_t const part : aParts) {
    auto const found = mRecords.find(part);
    if (found == mRecords.end() || !IsPoisonous(found->second.mEvidence))
      continue;
    if (!longest || found->second.mTrialAt > longest->mTrialAt)
      longest = { .mPart = part,
                  .mCrashes = found->second.mEvidence.mCrashes,
                  .mTrialAt = found->second.mTrialAt };
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
