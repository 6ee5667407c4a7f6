#include <LibFleet/PeerBook.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace lycheeseam {

namespace {

// A child that lost its parent has another one by then.
constexpr duration kLostRosterUse = std::chrono::seconds{ 3 };

}

void
peer_book::OnUp(instant aNow, peer_hello const& aHello)
{
  if (aHello.mIdentity.mInstance == mSelf)
    return;
  mKnown.OnHeard(aNow, aHello);
  mLinks[aHello.mIdentity.mInstance] = peer_link{
    .mHello = aHello, .mUpAt = aNow, .mRoster = { { { .mHello = aHello } } }
  };
}

peer_link*
peer_book::FindLink(instance_identity const& aPeer)
{
  auto const found = mLinks.find(aPeer.mInstance);
  bool const isSameIdentity =
    found != mLinks.end() && found->second.mHello.mIdentity == aPeer;
  return isSameIdentity ? &found->second : nullptr;
}

void
peer_book::OnDown(instant aNow, instance_identity const& aPeer)
{
  peer_link* const found = FindLink(aPeer);
  if (found == nullptr)
    return;
  peer_link& lost = *found;
  if (lost.mReportedAt && lost.mReport.mScope == report_scope::Rest) {
    mLostRoster = std::move(lost.mRoster);
    std::erase_if(mLostRoster.mEntries, [&aPeer](auto const& aEntry) {
      return aEntry.mHello.mIdentity.mInstance == aPeer.mInstance;
    });
    mLostUntil = aNow + kLostRosterUse;
  }
  mLinks.erase(aPeer.mInstance);
  if (!IsInRosters(aPeer.mInstance))
    mKnown.OnAway(aNow, aPeer.mInstance);
}

bool
peer_book::IsInRosters(instance_id const& aInstance) const
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
peer_book::OnReport(instant aNow,
                    instance_identity const& aPeer,
                    fleet_report const& aReport)
{
  peer_link* const found = FindLink(aPeer);
  if (found == nullptr)
    return false;
  peer_link& link = *found;
  mTally.OnReport(aNow, link, aReport);
  bool const isNews = link.mReport.mLease != aReport.mLease ||
                      link.mReport.mUpdating != aReport.mUpdating;
  link.mReport = aReport;
  link.mReportedAt = aNow;
  return isNews;
}

bool
peer_book::OnRoster(instant aNow,
                    instance_identity const& aPeer,
                    fleet_roster const& aRoster)
{
  peer_link* const found = FindLink(aPeer);
  if (found == nullptr || found->mRoster == aRoster)
    return false;
  fleet_roster const before = std::exchange(found->mRoster, aRoster);
  NoteVanished(aNow, before);
  for (roster_entry const& entry : aRoster.mEntries)
    mKnown.OnHeard(aNow, entry.mHello);
  if (aRoster.mEntries.size() > 1)
    mLostRoster = {};
  return true;
}

void
peer_book::NoteVanished(instant aNow, fleet_roster const& aBefore)
{
  for (roster_entry const& entry : aBefore.mEntries) {
    instance_id const& id = entry.mHello.mIdentity.mInstance;
    if (!IsInRosters(id))
      mKnown.OnAway(aNow, id);
  }
}

void
peer_book::Prune(instant aNow)
{
  if (aNow >= mLostUntil)
    mLostRoster = {};
  for (auto const& [id, link] : mLinks) {
    for (roster_entry const& entry : link.mRoster.mEntries)
      mKnown.OnStillHeard(aNow, entry.mHello.mIdentity.mInstance);
  }
  mKnown.Prune(aNow);
}

std::vector<ready_instance>
peer_book::Entries() const
{
  std::map<instance_id, ready_instance> entries;
  auto const add = [&](fleet_roster const& aRoster) {
    for (roster_entry const& entry : aRoster.mEntries) {
      instance_id const& id = entry.mHello.mIdentity.mInstance;
      if (entry.mIsReady && !entry.mIsLeaving && id != mSelf)
        entries[id] = { .mInstance = id,
                        .mDomain = entry.mHello.mFailureDomain,
                        .mAddress = entry.mHello.mCallers };
    }
  };
  add(mLostRoster);
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
peer_book::LiveEntries(instant aNow) const
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
peer_book::Silent(instant aNow) const
{
  std::set<instance_id> heard;
  for (roster_entry const* const entry : LiveEntries(aNow))
    heard.insert(entry->mHello.mIdentity.mInstance);
  return mKnown.CountBesides(heard);
}

std::vector<workspace_usage>
peer_book::Used(instant aNow) const
{
  for (auto const& [id, link] : mLinks) {
    if (link.IsLive(aNow) && !link.mReport.mUsed.empty())
      return link.mReport.mUsed;
  }
  return {};
}

std::set<backend_server_id>
peer_book::Turning(instant aNow) const
{
  std::uint64_t const newest = NewestLease(aNow);
  for (auto const& [id, link] : mLinks) {
    std::vector<backend_server_id> const& turning = link.mReport.mUpdating;
    if (newest != 0 && link.IsLive(aNow) && link.mReport.mLease == newest)
      return { turning.begin(), turning.end() };
  }
  return {};
}

std::uint64_t
peer_book::NewestLease(instant aNow) const
{
  std::uint64_t newest = 0;
  for (auto const& [id, link] : mLinks) {
    if (link.IsLive(aNow))
      newest = std::max(newest, link.mReport.mLease);
  }
  return newest;
}

bool
peer_book::HasReader(instant aNow) const
{
  return std::any_of(
    mLinks.begin(), mLinks.end(), [this, aNow](auto const& aEntry) {
      peer_link const& link = aEntry.second;
      return link.IsLive(aNow) && !link.mReport.mReader.IsEmpty() &&
             link.mReport.mReader < mSelf;
    });
}

std::uint32_t
peer_book::Rank(instant aNow) const
{
  std::set<instance_id> before;
  for (roster_entry const* const entry : LiveEntries(aNow)) {
    if (!entry->mIsLeaving && entry->mHello.mIdentity.mInstance < mSelf)
      before.insert(entry->mHello.mIdentity.mInstance);
  }
  return static_cast<std::uint32_t>(before.size());
}

}
