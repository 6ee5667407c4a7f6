#include <LibFleet/KnownInstances.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

namespace {

// An instance that is unreachable for longer has been removed or is being
// replaced; until then its share of the limits stays reserved for it.
constexpr duration kRetention = std::chrono::seconds{ 30 };

// An instance that others still report is only unreachable from here; after
// this time it counts as reachable again, so that it is tried again.
constexpr duration kReportedRetryDelay = std::chrono::seconds{ 10 };

// The peer that reported an instance may have lost its own link for a moment,
// and with it all that it reports. By then that link is open again, or the
// instances behind it report elsewhere.
constexpr duration kUnreportedTolerance = std::chrono::seconds{ 3 };

}

void
known_instances::OnRegistered(instant aNow, peer_hello const& aHello)
{
  auto const known = mKnown.find(aHello.mIdentity.mInstance);
  // Records are read in the order in which they were written, so one of another
  // incarnation is of a later one, whatever its number.
  bool const isOther =
    known == mKnown.end() || known->second.mHello.mIdentity.mIncarnation !=
                               aHello.mIdentity.mIncarnation;
  if (isOther)
    OnObserved(aNow, aHello);
}

void
known_instances::OnObserved(instant aNow, peer_hello const& aHello)
{
  if (aHello.mIdentity.mInstance != mSelf)
    mKnown[aHello.mIdentity.mInstance] = { .mHello = aHello,
                                           .mObservedAt = aNow };
}

void
known_instances::OnStillReported(instant aNow, instance_id const& aInstance)
{
  auto const known = mKnown.find(aInstance);
  if (known == mKnown.end())
    return;
  std::optional<instant>& unreachable = known->second.mUnreachableSince;
  known->second.mObservedAt = aNow;
  known->second.mUnreportedSince.reset();
  if (unreachable && aNow - *unreachable > kReportedRetryDelay)
    unreachable.reset();
}

void
known_instances::OnUnreachable(instant aNow, instance_id const& aInstance)
{
  auto const known = mKnown.find(aInstance);
  if (known != mKnown.end())
    known->second.mUnreachableSince = aNow;
}

void
known_instances::OnUnreported(instant aNow, instance_id const& aInstance)
{
  auto const known = mKnown.find(aInstance);
  if (known != mKnown.end() && !known->second.mUnreportedSince)
    known->second.mUnreportedSince = aNow;
}

void
known_instances::Prune(instant aNow)
{
  for (auto& [id, known] : mKnown) {
    if (!known.mUnreachableSince && known.mUnreportedSince &&
        aNow - *known.mUnreportedSince > kUnreportedTolerance)
      known.mUnreachableSince = aNow;
  }
  std::erase_if(mKnown, [aNow](auto const& aEntry) {
    return aNow - aEntry.second.mObservedAt > kRetention;
  });
}

std::vector<peer_hello>
known_instances::Reachable() const
{
  std::vector<peer_hello> reachable;
  for (auto const& [id, known] : mKnown) {
    if (!known.mUnreachableSince)
      reachable.push_back(known.mHello);
  }
  return reachable;
}

std::size_t
known_instances::CountReachable() const
{
  return static_cast<std::size_t>(
    std::count_if(mKnown.begin(), mKnown.end(), [](auto const& aEntry) {
      return !aEntry.second.mUnreachableSince;
    }));
}

std::vector<peer_hello>
known_instances::Unreachable() const
{
  std::vector<peer_hello> unreachable;
  for (auto const& [id, known] : mKnown) {
    if (known.mUnreachableSince)
      unreachable.push_back(known.mHello);
  }
  return unreachable;
}

std::uint32_t
known_instances::Count() const
{
  return static_cast<std::uint32_t>(mKnown.size());
}

std::uint32_t
known_instances::CountExcluding(std::set<instance_id> const& aExcluded) const
{
  return static_cast<std::uint32_t>(std::count_if(
    mKnown.begin(), mKnown.end(), [&aExcluded](auto const& aEntry) {
      return !aExcluded.contains(aEntry.first);
    }));
}

}
