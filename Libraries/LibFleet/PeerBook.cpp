#include <LibFleet/PeerBook.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace lycheeseam {

namespace {

// An instance that is away longer has been removed or is being replaced; until
// then its share of limits is kept for it.
constexpr duration kMemory = std::chrono::seconds{ 30 };

// One that others still hear of is only cut off from here, and may be reached
// again.
constexpr duration kAwayInRosters = std::chrono::seconds{ 10 };

// A child that lost its parent has another one by then.
constexpr duration kLostRosterUse = std::chrono::seconds{ 3 };

}

void
peer_book::Note(instant aNow, peer_hello const& aHello)
{
  if (aHello.mLife.mInstance == mSelf)
    return;
  mKnown[aHello.mLife.mInstance] = { .mHello = aHello, .mSeenAt = aNow };
}

void
peer_book::OnRegistered(instant aNow, peer_hello const& aHello)
{
  auto const known = mKnown.find(aHello.mLife.mInstance);
  bool const isNews =
    known == mKnown.end() ||
    known->second.mHello.mLife.mIncarnation < aHello.mLife.mIncarnation;
  if (isNews)
    Note(aNow, aHello);
}

void
peer_book::OnUp(instant aNow, peer_hello const& aHello)
{
  if (aHello.mLife.mInstance == mSelf)
    return;
  Note(aNow, aHello);
  mLinks[aHello.mLife.mInstance] = peer_link{
    .mHello = aHello, .mUpAt = aNow, .mRoster = { { { .mHello = aHello } } }
  };
}

peer_link*
peer_book::FindLink(instance_life const& aPeer)
{
  auto const found = mLinks.find(aPeer.mInstance);
  bool const isOfLife =
    found != mLinks.end() && found->second.mHello.mLife == aPeer;
  return isOfLife ? &found->second : nullptr;
}

void
peer_book::OnDown(instant aNow, instance_life const& aPeer)
{
  peer_link* const found = FindLink(aPeer);
  if (found == nullptr)
    return;
  peer_link& lost = *found;
  if (lost.mReportedAt && lost.mReport.mScope == report_scope::Rest) {
    mLostRoster = std::move(lost.mRoster);
    std::erase_if(mLostRoster.mEntries, [&aPeer](auto const& aEntry) {
      return aEntry.mHello.mLife.mInstance == aPeer.mInstance;
    });
    mLostUntil = aNow + kLostRosterUse;
  }
  mLinks.erase(aPeer.mInstance);
  auto const known = mKnown.find(aPeer.mInstance);
  if (known == mKnown.end())
    return;
  known->second.mSeenAt = aNow;
  if (!IsInRosters(aPeer.mInstance))
    known->second.mAwaySince = aNow;
}

bool
peer_book::IsInRosters(instance_id const& aInstance) const
{
  return std::any_of(mLinks.begin(), mLinks.end(), [&](auto const& aLink) {
    std::vector<roster_entry> const& entries = aLink.second.mRoster.mEntries;
    return std::any_of(
      entries.begin(), entries.end(), [&](roster_entry const& aEntry) {
        return aEntry.mHello.mLife.mInstance == aInstance;
      });
  });
}

bool
peer_book::OnReport(instant aNow,
                    instance_life const& aPeer,
                    fleet_report const& aReport)
{
  peer_link* const found = FindLink(aPeer);
  if (found == nullptr)
    return false;
  peer_link& link = *found;
  // What was admitted before this instance first heard of it lies in the
  // window that it is told of, or long ago.
  bool const isCounted =
    link.IsLive(aNow) && link.mReport.mScope == aReport.mScope;
  Count(link, aReport, isCounted);
  bool const isNews = link.mReport.mLease != aReport.mLease ||
                      link.mReport.mTurning != aReport.mTurning;
  link.mReport = aReport;
  link.mReportedAt = aNow;
  return isNews;
}

void
peer_book::Count(peer_link& aLink, fleet_report const& aReport, bool aIsCounted)
{
  for (spent_units const& spent : aReport.mSpent) {
    spent_units& before = aLink.mTold[spent.mWorkspace];
    spent_units const added{ .mWorkspace = spent.mWorkspace,
                             .mUnits =
                               std::max(0.0, spent.mUnits - before.mUnits),
                             .mAsked =
                               std::max(0.0, spent.mAsked - before.mAsked) };
    before = spent;
    if (!aIsCounted)
      continue;
    Add(mSpent, added);
    Add(aLink.mCounted, added);
    if (aReport.mScope == report_scope::Branch)
      Add(mSpentByChildren, added);
  }
}

void
peer_book::Add(totals& aTotals, spent_units const& aAdded)
{
  spent_units& total = aTotals[aAdded.mWorkspace];
  total.mWorkspace = aAdded.mWorkspace;
  total.mUnits += aAdded.mUnits;
  total.mAsked += aAdded.mAsked;
}

bool
peer_book::OnRoster(instant aNow,
                    instance_life const& aPeer,
                    fleet_roster const& aRoster)
{
  peer_link* const found = FindLink(aPeer);
  if (found == nullptr || found->mRoster == aRoster)
    return false;
  fleet_roster const before = std::exchange(found->mRoster, aRoster);
  NoteVanished(aNow, before);
  for (roster_entry const& entry : aRoster.mEntries)
    Note(aNow, entry.mHello);
  if (aRoster.mEntries.size() > 1)
    mLostRoster = {};
  return true;
}

void
peer_book::NoteVanished(instant aNow, fleet_roster const& aBefore)
{
  for (roster_entry const& entry : aBefore.mEntries) {
    instance_id const& id = entry.mHello.mLife.mInstance;
    auto const known = mKnown.find(id);
    if (known != mKnown.end() && !IsInRosters(id))
      known->second.mAwaySince = aNow;
  }
}

void
peer_book::OnUnreachable(instant aNow, instance_id const& aPeer)
{
  auto const known = mKnown.find(aPeer);
  if (known != mKnown.end())
    known->second.mAwaySince = aNow;
}

void
peer_book::Prune(instant aNow)
{
  if (aNow >= mLostUntil)
    mLostRoster = {};
  for (auto const& [id, link] : mLinks) {
    for (roster_entry const& entry : link.mRoster.mEntries) {
      auto const known = mKnown.find(entry.mHello.mLife.mInstance);
      if (known == mKnown.end())
        continue;
      known->second.mSeenAt = aNow;
      if (known->second.mAwaySince &&
          aNow - *known->second.mAwaySince > kAwayInRosters)
        known->second.mAwaySince.reset();
    }
  }
  std::erase_if(mKnown, [aNow](auto const& aEntry) {
    return aNow - aEntry.second.mSeenAt > kMemory;
  });
}

std::vector<peer_hello>
peer_book::Present() const
{
  std::vector<peer_hello> present;
  for (auto const& [id, known] : mKnown) {
    if (!known.mAwaySince)
      present.push_back(known.mHello);
  }
  return present;
}

std::vector<peer_hello>
peer_book::Away() const
{
  std::vector<peer_hello> away;
  for (auto const& [id, known] : mKnown) {
    if (known.mAwaySince)
      away.push_back(known.mHello);
  }
  return away;
}

std::vector<caller_entry>
peer_book::Entries() const
{
  std::map<instance_id, caller_entry> entries;
  auto const add = [&](fleet_roster const& aRoster) {
    for (roster_entry const& entry : aRoster.mEntries) {
      instance_id const& id = entry.mHello.mLife.mInstance;
      if (entry.mIsReady && !entry.mIsLeaving && id != mSelf)
        entries[id] = { .mInstance = id,
                        .mDomain = entry.mHello.mFailureDomain,
                        .mAddress = entry.mHello.mCallers };
    }
  };
  add(mLostRoster);
  for (auto const& [id, link] : mLinks)
    add(link.mRoster);
  std::vector<caller_entry> list;
  std::transform(entries.begin(),
                 entries.end(),
                 std::back_inserter(list),
                 [](auto const& aEntry) { return aEntry.second; });
  return list;
}

std::uint32_t
peer_book::Count() const
{
  return static_cast<std::uint32_t>(mKnown.size());
}

std::set<instance_id>
peer_book::Heard(instant aNow) const
{
  std::set<instance_id> heard;
  for (auto const& [id, link] : mLinks) {
    if (!link.IsLive(aNow))
      continue;
    for (roster_entry const& entry : link.mRoster.mEntries)
      heard.insert(entry.mHello.mLife.mInstance);
  }
  heard.erase(mSelf);
  return heard;
}

std::uint32_t
peer_book::Silent(instant aNow) const
{
  std::set<instance_id> const heard = Heard(aNow);
  return static_cast<std::uint32_t>(
    std::count_if(mKnown.begin(), mKnown.end(), [&heard](auto const& aEntry) {
      return !heard.contains(aEntry.first);
    }));
}

std::vector<spent_units>
peer_book::List(totals const& aTotals)
{
  std::vector<spent_units> list;
  list.reserve(aTotals.size());
  for (auto const& [workspace, units] : aTotals)
    list.push_back(units);
  return list;
}

std::vector<spent_units>
peer_book::Spent() const
{
  return List(mSpent);
}

std::vector<spent_units>
peer_book::SpentByChildren() const
{
  return List(mSpentByChildren);
}

std::vector<spent_units>
peer_book::SpentBesides(peer_link const& aLink) const
{
  std::vector<spent_units> spent = Spent();
  for (spent_units& units : spent) {
    auto const counted = aLink.mCounted.find(units.mWorkspace);
    if (counted == aLink.mCounted.end())
      continue;
    units.mUnits -= counted->second.mUnits;
    units.mAsked -= counted->second.mAsked;
  }
  return spent;
}

std::vector<spent_units>
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
    std::vector<backend_server_id> const& turning = link.mReport.mTurning;
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
  for (auto const& [id, link] : mLinks) {
    if (!link.IsLive(aNow))
      continue;
    for (roster_entry const& entry : link.mRoster.mEntries) {
      if (!entry.mIsLeaving && entry.mHello.mLife.mInstance < mSelf)
        before.insert(entry.mHello.mLife.mInstance);
    }
  }
  return static_cast<std::uint32_t>(before.size());
}

}
