#include <LibFleet/KnownInstances.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

namespace {

// An instance that is away longer has been removed or is being replaced; until
// then its share of limits is kept for it.
constexpr duration kMemory = std::chrono::seconds{ 30 };

// One that others still hear of is only cut off from here, and may be reached
// again.
constexpr duration kAwayInRosters = std::chrono::seconds{ 10 };

}

void
known_instances::OnRegistered(instant aNow, peer_hello const& aHello)
{
  auto const known = mKnown.find(aHello.mIdentity.mInstance);
  bool const isNews =
    known == mKnown.end() ||
    known->second.mHello.mIdentity.mIncarnation < aHello.mIdentity.mIncarnation;
  if (isNews)
    OnHeard(aNow, aHello);
}

void
known_instances::OnHeard(instant aNow, peer_hello const& aHello)
{
  if (aHello.mIdentity.mInstance != mSelf)
    mKnown[aHello.mIdentity.mInstance] = { .mHello = aHello, .mSeenAt = aNow };
}

void
known_instances::OnStillHeard(instant aNow, instance_id const& aInstance)
{
  auto const known = mKnown.find(aInstance);
  if (known == mKnown.end())
    return;
  std::optional<instant>& away = known->second.mAwaySince;
  known->second.mSeenAt = aNow;
  if (away && aNow - *away > kAwayInRosters)
    away.reset();
}

void
known_instances::OnAway(instant aNow, instance_id const& aInstance)
{
  auto const known = mKnown.find(aInstance);
  if (known != mKnown.end())
    known->second.mAwaySince = aNow;
}

void
known_instances::Prune(instant aNow)
{
  std::erase_if(mKnown, [aNow](auto const& aEntry) {
    return aNow - aEntry.second.mSeenAt > kMemory;
  });
}

std::vector<peer_hello>
known_instances::Present() const
{
  std::vector<peer_hello> present;
  for (auto const& [id, known] : mKnown) {
    if (!known.mAwaySince)
      present.push_back(known.mHello);
  }
  return present;
}

std::size_t
known_instances::CountPresent() const
{
  return static_cast<std::size_t>(
    std::count_if(mKnown.begin(), mKnown.end(), [](auto const& aEntry) {
      return !aEntry.second.mAwaySince;
    }));
}

std::vector<peer_hello>
known_instances::Away() const
{
  std::vector<peer_hello> away;
  for (auto const& [id, known] : mKnown) {
    if (known.mAwaySince)
      away.push_back(known.mHello);
  }
  return away;
}

std::uint32_t
known_instances::Count() const
{
  return static_cast<std::uint32_t>(mKnown.size());
}

std::uint32_t
known_instances::CountBesides(std::set<instance_id> const& aSome) const
{
  return static_cast<std::uint32_t>(
    std::count_if(mKnown.begin(), mKnown.end(), [&aSome](auto const& aEntry) {
      return !aSome.contains(aEntry.first);
    }));
}

}
