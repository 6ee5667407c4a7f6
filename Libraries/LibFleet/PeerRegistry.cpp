#include <LibFleet/CombineDrained.h>
#include <LibFleet/PeerRegistry.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace lycheeseam {

namespace {

// How long the ready instances in the roster of a former parent stay in use. A
// child whose parent failed has another one by then.
constexpr duration kFormerParentRosterUse = std::chrono::seconds{ 3 };

}

void
peer_registry::OnUp(instant aNow, peer_hello const& aHello)
{
  if (aHello.mIdentity.mInstance == mSelf)
    return;
  mKnown.OnObserved(aNow, aHello);
  mLinks[aHello.mIdentity.mInstance] = peer_link{
    .mHello = aHello, .mUpAt = aNow, .mRoster = { { { .mHello = aHello } } }
  };
}

peer_link*
peer_registry::FindLink(instance_identity const& aPeer)
{
  auto const found = mLinks.find(aPeer.mInstance);
  bool const isSameIdentity =
    found != mLinks.end() && found->second.mHello.mIdentity == aPeer;
  return isSameIdentity ? &found->second : nullptr;
}

void
peer_registry::OnDown(instant aNow, instance_identity const& aPeer)
{
  peer_link* const found = FindLink(aPeer);
  if (found == nullptr)
    return;
  peer_link& closed = *found;
  if (closed.IsLive(aNow)) {
    closed_link& known = mClosedLinks.emplace_back(
      closed_link{ .mReportedAt = *closed.mReportedAt });
    for (roster_entry const& entry : closed.mRoster.mEntries)
      known.mInstances.insert(entry.mHello.mIdentity.mInstance);
  }
  if (closed.mReportedAt && closed.mReport.mScope == report_scope::Rest) {
    mFormerParentRoster = std::move(closed.mRoster);
    std::erase_if(mFormerParentRoster.mEntries, [&aPeer](auto const& aEntry) {
      return aEntry.mHello.mIdentity.mInstance == aPeer.mInstance;
    });
    mFormerParentRosterUntil = aNow + kFormerParentRosterUse;
  }
  mLinks.erase(aPeer.mInstance);
  if (!IsInRosters(aPeer.mInstance))
    mKnown.OnUnreachable(aNow, aPeer.mInstance);
}

// What is sent once over each link is sent again, as it may have been lost with
// the connection so far.
void
peer_registry::OnLinkReplaced(instant aNow, instance_identity const& aPeer)
{
  if (peer_link* const found = FindLink(aPeer))
    found->mUpAt = aNow;
}

bool
peer_registry::IsInRosters(instance_id const& aInstance) const
{
  return std::any_of(mLinks.begin(), mLinks.end(), [&](auto const& aLink) {
    std::vector<roster_entry> const& entries = aLink.second.mRoster.mEntries;
    return std::any_of(
      entries.begin(), entries.end(), [&](roster_entry const& aEntry) {
        return aEntry.mHello.mIdentity.mInstance == aInstance;
      });
  });
}

bool
peer_registry::OnReport(instant aNow,
                        instance_identity const& aPeer,
                        fleet_report const& aReport)
{
  peer_link* const found = FindLink(aPeer);
  if (found == nullptr)
    return false;
  peer_link& link = *found;
  mUsage.OnReport(aNow, link, aReport);
  bool const hasChanged = link.mReport.mLease != aReport.mLease ||
                          link.mReport.mUpdating != aReport.mUpdating;
  link.mReport = aReport;
  link.mReportedAt = aNow;
  return hasChanged;
}

bool
peer_registry::OnRoster(instant aNow,
                        instance_identity const& aPeer,
                        fleet_roster const& aRoster)
{
  peer_link* const found = FindLink(aPeer);
  if (found == nullptr || found->mRoster == aRoster)
    return false;
  fleet_roster const before = std::exchange(found->mRoster, aRoster);
  MarkUnreported(aNow, before);
  for (roster_entry const& entry : aRoster.mEntries)
    mKnown.OnObserved(aNow, entry.mHello);
  // A roster that contains more than the peer itself replaces that of the
  // former parent.
  if (aRoster.mEntries.size() > 1)
    mFormerParentRoster = {};
  return true;
}

void
peer_registry::MarkUnreported(instant aNow, fleet_roster const& aBefore)
{
  for (roster_entry const& entry : aBefore.mEntries) {
    instance_id const& id = entry.mHello.mIdentity.mInstance;
    if (!IsInRosters(id))
      mKnown.OnUnreported(aNow, id);
  }
}

void
peer_registry::Prune(instant aNow)
{
  if (aNow >= mFormerParentRosterUntil)
    mFormerParentRoster = {};
  for (auto const& [id, link] : mLinks) {
    for (roster_entry const& entry : link.mRoster.mEntries)
      mKnown.OnStillReported(aNow, entry.mHello.mIdentity.mInstance);
  }
  std::erase_if(mClosedLinks, [aNow](closed_link const& aClosed) {
    return aNow - aClosed.mReportedAt > peer_link::kUnresponsiveAfter;
  });
  mKnown.Prune(aNow);
  mUsage.Prune(aNow);
}

std::vector<ready_instance>
peer_registry::Entries() const
{
  return Select([](roster_entry const& aEntry) {
    return aEntry.mIsReady && !aEntry.mIsLeaving;
  });
}

std::vector<ready_instance>
peer_registry::Stopping() const
{
  return Select([](roster_entry const& aEntry) { return aEntry.mIsLeaving; });
}

template<typename Predicate>
std::vector<ready_instance>
peer_registry::Select(Predicate aPredicate) const
{
  std::map<instance_id, ready_instance> entries;
  auto const add = [&](fleet_roster const& aRoster) {
    for (roster_entry const& entry : aRoster.mEntries) {
      instance_id const& id = entry.mHello.mIdentity.mInstance;
      if (aPredicate(entry) && id != mSelf)
        entries[id] = { .mInstance = id,
                        .mDomain = entry.mHello.mFailureDomain,
                        .mAddress = entry.mHello.mCallers,
                        .mTunnels = entry.mHello.mTunnels };
    }
  };
  add(mFormerParentRoster);
  for (auto const& [id, link] : mLinks)
    add(link.mRoster);
  std::vector<ready_instance> list;
  std::transform(entries.begin(),
                 entries.end(),
                 std::back_inserter(list),
                 [](auto const& aEntry) { return aEntry.second; });
  return list;
}

std::vector<roster_entry const*>
peer_registry::LiveEntries(instant aNow) const
{
  std::vector<roster_entry const*> entries;
  for (auto const& [id, link] : mLinks) {
    if (!link.IsLive(aNow))
      continue;
    for (roster_entry const& entry : link.mRoster.mEntries)
      entries.push_back(&entry);
  }
  return entries;
}

std::uint32_t
peer_registry::Unresponsive(instant aNow) const
{
  std::set<instance_id> responsive;
  for (roster_entry const* const entry : LiveEntries(aNow))
    responsive.insert(entry->mHello.mIdentity.mInstance);
  for (closed_link const& closed : mClosedLinks) {
    if (aNow - closed.mReportedAt <= peer_link::kUnresponsiveAfter)
      responsive.insert(closed.mInstances.begin(), closed.mInstances.end());
  }
  return mKnown.CountExcluding(responsive);
}

std::vector<workspace_usage>
peer_registry::WindowUsage(instant aNow) const
{
  std::map<workspace_id, double> highest;
  for (auto const& [id, link] : mLinks) {
    if (!link.IsLive(aNow))
      continue;
    for (workspace_usage const& usage : link.mReport.mUsed)
      highest[usage.mWorkspace] =
        std::max(highest[usage.mWorkspace], usage.mUnits);
  }
  std::vector<workspace_usage> used;
  used.reserve(highest.size());
  for (auto const& [workspace, units] : highest)
    used.push_back({ .mWorkspace = workspace, .mUnits = units });
  return used;
}

std::set<backend_server_id>
peer_registry::Updating(instant aNow) const
{
  std::uint64_t const newest = NewestLease(aNow);
  for (auto const& [id, link] : mLinks) {
    std::vector<backend_server_id> const& updating = link.mReport.mUpdating;
    if (newest != 0 && link.IsLive(aNow) && link.mReport.mLease == newest)
      return { updating.begin(), updating.end() };
  }
  return {};
}

std::vector<rollout_drain>
peer_registry::Drained(instant aNow, std::vector<rollout_drain> aOwn) const
{
  for (auto const& [id, link] : mLinks) {
    if (link.IsLive(aNow))
      aOwn = CombineDrained(aOwn, link.mReport.mDrained);
  }
  return aOwn;
}

std::uint64_t
peer_registry::NewestLease(instant aNow) const
{
  std::uint64_t newest = 0;
  for (auto const& [id, link] : mLinks) {
    if (link.IsLive(aNow))
      newest = std::max(newest, link.mReport.mLease);
  }
  return newest;
}

bool
peer_registry::HasReader(instant aNow) const
{
  return std::any_of(
    mLinks.begin(), mLinks.end(), [this, aNow](auto const& aEntry) {
      peer_link const& link = aEntry.second;
      return link.IsLive(aNow) && !link.mReport.mReader.IsEmpty() &&
             link.mReport.mReader < mSelf;
    });
}

bool
peer_registry::IsAnyReading(instant aNow) const
{
  return std::any_of(mLinks.begin(), mLinks.end(), [aNow](auto const& aEntry) {
    peer_link const& link = aEntry.second;
    return link.IsLive(aNow) && !link.mReport.mReader.IsEmpty();
  });
}

std::uint32_t
peer_registry::Rank(instant aNow) const
{
  std::set<instance_id> before;
  for (roster_entry const* const entry : LiveEntries(aNow)) {
    if (!entry->mIsLeaving && entry->mHello.mIdentity.mInstance < mSelf)
      before.insert(entry->mHello.mIdentity.mInstance);
  }
  return static_cast<std::uint32_t>(before.size());
}

}
