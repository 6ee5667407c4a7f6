#include <LibMembership/Freshness.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheeseam {

namespace {

// The maximum number of tail readings that wait until the log's entries are
// applied; further ones would be stale by then.
constexpr std::size_t kMaxPendingReadings = 16;

template<typename Key>
std::optional<instant>
Find(std::map<Key, instant> const& aTimes, Key const& aKey)
{
  auto const found = aTimes.find(aKey);
  if (found == aTimes.end())
    return std::nullopt;
  return found->second;
}

template<typename Key>
void
KeepLatest(std::map<Key, instant>& aTimes, Key const& aKey, instant aAt)
{
  auto const [found, isNew] = aTimes.try_emplace(aKey, aAt);
  found->second = std::max(found->second, aAt);
}

// Rounds up, so that knowledge never looks fresher than it is.
std::chrono::milliseconds
Age(instant aAt, instant aNow)
{
  return std::chrono::ceil<std::chrono::milliseconds>(
    std::max(aNow - aAt, duration::zero()));
}

}

freshness::freshness(instance_id aSelf,
                     freshness_options aOptions,
                     instant aNow)
  : mSelf(std::move(aSelf))
  , mOptions(aOptions)
  , mLastTick(aNow)
  , mIgnoreBefore(aNow)
{
}

void
freshness::OnApplied(log_offset aOffset)
{
  mApplied = std::max(mApplied, aOffset);
  while (!mPendingReadings.empty() &&
         mPendingReadings.begin()->first <= mApplied) {
    auto const [tail, at] = *mPendingReadings.begin();
    mPendingReadings.erase(mPendingReadings.begin());
    OnTailRead(tail, at);
  }
}

void
freshness::OnTailRead(log_offset aTail, instant aSentAt)
{
  if (aTail > mApplied) {
    KeepLatest(mPendingReadings, aTail, aSentAt);
    // The lower tails are applied first, so the highest is dropped.
    if (mPendingReadings.size() > kMaxPendingReadings)
      mPendingReadings.erase(std::prev(mPendingReadings.end()));
    return;
  }
  if (!mReading || aSentAt > mReading->mAt)
    mReading = tail_reading{ .mTail = aTail, .mAt = aSentAt };
}

void
freshness::OnPeerObservation(peer_observation const& aObservation, instant aNow)
{
  if (aObservation.mEchoedSentAt > aNow ||
      aObservation.mEchoedSentAt < mIgnoreBefore)
    return;
  KeepLatest(mPeerObservedAt, aObservation.mPeer, aObservation.mEchoedSentAt);
  KeepLatest(
    mDomainObservedAt, aObservation.mDomain, aObservation.mEchoedSentAt);
  for (domain_observation const& observation : aObservation.mDomains)
    KeepLatest(mDomainObservedAt,
               observation.mDomain,
               aObservation.mEchoedSentAt - observation.mAge);
  if (aObservation.mTail)
    OnTailRead(aObservation.mTail->mTail,
               aObservation.mEchoedSentAt - aObservation.mTail->mAge);
}

void
freshness::OnTick(instant aNow)
{
  if (aNow - mLastTick > mOptions.mPauseLimit) {
    mIgnoreBefore = aNow;
    mPauseEnded = aNow;
  }
  mLastTick = aNow;
}

freshness_verdict
freshness::Assess(instant aNow,
                  std::span<member const> aMembers,
                  std::span<instance_id const> aLinked) const
{
  if (mReading && IsRecent(mReading->mAt, aNow))
    return freshness_verdict::Confirmed;
  // This may run before the tick that would detect a pause.
  if (aNow - mLastTick > mOptions.mPauseLimit)
    return freshness_verdict::Partitioned;
  // After a pause the log gets one bound of time to answer: that it hasn't yet
  // doesn't show an outage of the log, and a single instance is always a
  // majority of its fleet.
  if (mPauseEnded && aNow < *mPauseEnded + mOptions.mBound)
    return freshness_verdict::Partitioned;
  auto const isReachable = [&](member const& aMember) {
    return IsReachable(aMember, aLinked, aNow);
  };
  auto const reachable =
    std::count_if(aMembers.begin(), aMembers.end(), isReachable);
  bool const isMajority =
    2 * static_cast<std::size_t>(reachable) > aMembers.size();
  return isMajority ? freshness_verdict::LogUnreachable
                    : freshness_verdict::Partitioned;
}

std::optional<tail_observation>
freshness::Tail(instant aNow) const
{
  if (!mReading || mReading->mAt < mIgnoreBefore)
    return std::nullopt;
  return tail_observation{ .mTail = mReading->mTail,
                           .mAge = Age(mReading->mAt, aNow) };
}

std::vector<domain_observation>
freshness::DomainObservations(instant aNow) const
{
  std::vector<domain_observation> observations;
  for (auto const& [domain, at] : mDomainObservedAt) {
    if (IsRecent(at, aNow))
      observations.push_back({ .mDomain = domain, .mAge = Age(at, aNow) });
  }
  return observations;
}

bool
freshness::IsRecent(std::optional<instant> aAt, instant aNow) const
{
  // After a pause that no tick has detected yet, no knowledge is reliable.
  if (!aAt || aNow - mLastTick > mOptions.mPauseLimit)
    return false;
  return *aAt >= mIgnoreBefore && aNow - *aAt <= mOptions.mBound;
}

bool
freshness::IsReachable(member const& aMember,
                       std::span<instance_id const> aLinked,
                       instant aNow) const
{
  instance_id const& name = aMember.mIdentity.mInstance;
  if (name == mSelf)
    return true;
  if (std::find(aLinked.begin(), aLinked.end(), name) != aLinked.end())
    return IsRecent(Find(mPeerObservedAt, name), aNow);
  return IsRecent(Find(mDomainObservedAt, DomainCode(aMember.mFailureDomain)),
                  aNow);
}

}
