#include <LibMembership/Freshness.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheeseam {

namespace {

// Readings that wait for entries to be applied; more would be stale by then.
constexpr std::size_t kMaxAhead = 16;

template<typename Key>
std::optional<instant>
Find(std::map<Key, instant> const& aSigns, Key const& aKey)
{
  auto const found = aSigns.find(aKey);
  if (found == aSigns.end())
    return std::nullopt;
  return found->second;
}

template<typename Key>
void
Raise(std::map<Key, instant>& aSigns, Key const& aKey, instant aAt)
{
  auto const [found, isNew] = aSigns.try_emplace(aKey, aAt);
  found->second = std::max(found->second, aAt);
}

// Rounded up, so that an age never looks younger than it is.
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
  , mNotBefore(aNow)
{
}

void
freshness::OnApplied(log_offset aOffset)
{
  mApplied = std::max(mApplied, aOffset);
  while (!mAhead.empty() && mAhead.begin()->first <= mApplied) {
    auto const [tail, at] = *mAhead.begin();
    mAhead.erase(mAhead.begin());
    OnTailRead(tail, at);
  }
}

void
freshness::OnTailRead(log_offset aTail, instant aSentAt)
{
  if (aTail > mApplied) {
    Raise(mAhead, aTail, aSentAt);
    // The lesser tails are applied first, so the greatest can go.
    if (mAhead.size() > kMaxAhead)
      mAhead.erase(std::prev(mAhead.end()));
    return;
  }
  if (!mReading || aSentAt > mReading->mAt)
    mReading = tail_reading{ .mTail = aTail, .mAt = aSentAt };
}

void
freshness::OnPeerSign(peer_observation const& aSign, instant aNow)
{
  if (aSign.mEchoedSentAt > aNow || aSign.mEchoedSentAt < mNotBefore)
    return;
  Raise(mPeerSigns, aSign.mPeer, aSign.mEchoedSentAt);
  Raise(mDomainSigns, aSign.mDomain, aSign.mEchoedSentAt);
  for (domain_observation const& sign : aSign.mDomains)
    Raise(mDomainSigns, sign.mDomain, aSign.mEchoedSentAt - sign.mAge);
  if (aSign.mTail)
    OnTailRead(aSign.mTail->mTail, aSign.mEchoedSentAt - aSign.mTail->mAge);
}

void
freshness::OnTick(instant aNow)
{
  if (aNow - mLastTick > mOptions.mPauseLimit) {
    mNotBefore = aNow;
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
  // The decision may come before the tick that would notice a pause.
  if (aNow - mLastTick > mOptions.mPauseLimit)
    return freshness_verdict::CutOff;
  // After a pause the log gets its chance to answer first: that it hasn't yet
  // is no sign of its being out, and a lone instance has no one else to ask.
  if (mPauseEnded && aNow < *mPauseEnded + mOptions.mBound)
    return freshness_verdict::CutOff;
  auto const isWithinReach = [&](member const& aMember) {
    return IsWithinReach(aMember, aLinked, aNow);
  };
  auto const reached =
    std::count_if(aMembers.begin(), aMembers.end(), isWithinReach);
  bool const isMost = 2 * static_cast<std::size_t>(reached) > aMembers.size();
  return isMost ? freshness_verdict::LogOut : freshness_verdict::CutOff;
}

std::optional<tail_observation>
freshness::Tail(instant aNow) const
{
  if (!mReading || mReading->mAt < mNotBefore)
    return std::nullopt;
  return tail_observation{ .mTail = mReading->mTail,
                           .mAge = Age(mReading->mAt, aNow) };
}

std::vector<domain_observation>
freshness::DomainSigns(instant aNow) const
{
  std::vector<domain_observation> signs;
  for (auto const& [domain, at] : mDomainSigns) {
    if (IsRecent(at, aNow))
      signs.push_back({ .mDomain = domain, .mAge = Age(at, aNow) });
  }
  return signs;
}

bool
freshness::IsRecent(std::optional<instant> aAt, instant aNow) const
{
  // A pause that no tick has noticed yet makes everything doubtful.
  if (!aAt || aNow - mLastTick > mOptions.mPauseLimit)
    return false;
  return *aAt >= mNotBefore && aNow - *aAt <= mOptions.mBound;
}

bool
freshness::IsWithinReach(member const& aMember,
                         std::span<instance_id const> aLinked,
                         instant aNow) const
{
  instance_id const& name = aMember.mIdentity.mInstance;
  if (name == mSelf)
    return true;
  if (std::find(aLinked.begin(), aLinked.end(), name) != aLinked.end())
    return IsRecent(Find(mPeerSigns, name), aNow);
  return IsRecent(Find(mDomainSigns, DomainCode(aMember.mFailureDomain)), aNow);
}

}
