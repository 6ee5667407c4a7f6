#include <LibFleet/PeerBook.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

namespace {

// Some reports may be lost or late before a peer counts as silent.
constexpr duration kSilence = std::chrono::milliseconds{ 900 };

// An instance that is away longer has been removed or is being replaced; until
// then its share of limits is kept for it.
constexpr duration kMemory = std::chrono::seconds{ 30 };

}

void
peer_book::OnRegistered(instant aNow, peer_hello const& aHello)
{
  if (aHello.mLife.mInstance == mSelf)
    return;
  auto const [entry, isNew] = mPeers.try_emplace(aHello.mLife.mInstance);
  peer& known = entry->second;
  if (!isNew && known.mIsUp)
    return;
  known.mHello = aHello;
  if (isNew)
    known.mSeenAt = aNow;
}

void
peer_book::OnUp(instant aNow, peer_hello const& aHello)
{
  if (aHello.mLife.mInstance == mSelf)
    return;
  peer& known = mPeers[aHello.mLife.mInstance];
  if (known.mHello.mLife != aHello.mLife) {
    known.mSpent.clear();
    known.mReportedAt.reset();
    known.mReport = {};
  }
  known.mHello = aHello;
  known.mIsUp = true;
  known.mSeenAt = aNow;
}

void
peer_book::OnDown(instant aNow, instance_life const& aPeer)
{
  auto const found = mPeers.find(aPeer.mInstance);
  if (found == mPeers.end() || found->second.mHello.mLife != aPeer)
    return;
  found->second.mIsUp = false;
  found->second.mSeenAt = aNow;
}

void
peer_book::OnReport(instant aNow,
                    instance_life const& aPeer,
                    fleet_report const& aReport)
{
  auto const found = mPeers.find(aPeer.mInstance);
  if (found == mPeers.end() || found->second.mHello.mLife != aPeer)
    return;
  peer& known = found->second;
  // What it admitted before this instance first heard of it lies in the window
  // that it tells of, or long ago.
  bool const isCounted =
    known.mReportedAt && aNow - *known.mReportedAt <= kSilence;
  for (spent_units const& spent : aReport.mSpent) {
    double& before = known.mSpent[spent.mWorkspace];
    if (isCounted)
      mSpent[spent.mWorkspace] += std::max(0.0, spent.mUnits - before);
    before = spent.mUnits;
  }
  known.mReport = aReport;
  known.mReportedAt = aNow;
  known.mSeenAt = aNow;
}

void
peer_book::Prune(instant aNow)
{
  std::erase_if(mPeers, [aNow](auto const& aEntry) {
    return !aEntry.second.mIsUp && aNow - aEntry.second.mSeenAt > kMemory;
  });
}

std::vector<peer_contact>
peer_book::Contacts() const
{
  std::vector<peer_contact> contacts;
  for (auto const& [id, known] : mPeers)
    contacts.push_back({ .mAddress = known.mHello.mPeers, .mInstance = id });
  return contacts;
}

std::vector<caller_entry>
peer_book::Entries() const
{
  std::vector<caller_entry> entries;
  for (auto const& [id, known] : mPeers) {
    if (known.mIsUp && known.mReport.mIsReady && !known.mReport.mIsLeaving)
      entries.push_back({ .mInstance = id,
                          .mDomain = known.mHello.mFailureDomain,
                          .mAddress = known.mHello.mCallers });
  }
  return entries;
}

std::uint32_t
peer_book::Count() const
{
  return static_cast<std::uint32_t>(mPeers.size());
}

bool
peer_book::IsLive(instant aNow, peer const& aPeer) const
{
  return aPeer.mIsUp && aPeer.mReportedAt &&
         aNow - *aPeer.mReportedAt <= kSilence;
}

std::uint32_t
peer_book::Silent(instant aNow) const
{
  return static_cast<std::uint32_t>(
    std::count_if(mPeers.begin(), mPeers.end(), [this, aNow](auto const& aAny) {
      return !IsLive(aNow, aAny.second);
    }));
}

std::vector<spent_units>
peer_book::Spent() const
{
  std::vector<spent_units> spent;
  for (auto const& [workspace, units] : mSpent)
    spent.push_back({ .mWorkspace = workspace, .mUnits = units });
  return spent;
}

std::vector<spent_units>
peer_book::Used(instant aNow) const
{
  for (auto const& [id, known] : mPeers) {
    if (IsLive(aNow, known) && !known.mReport.mUsed.empty())
      return known.mReport.mUsed;
  }
  return {};
}

std::set<backend_server_id>
peer_book::Turning(instant aNow) const
{
  std::uint64_t const newest = NewestLease(aNow);
  for (auto const& [id, known] : mPeers) {
    if (newest != 0 && known.mReport.mLease == newest)
      return { known.mReport.mTurning.begin(), known.mReport.mTurning.end() };
  }
  return {};
}

std::uint64_t
peer_book::NewestLease(instant aNow) const
{
  std::uint64_t newest = 0;
  for (auto const& [id, known] : mPeers) {
    if (IsLive(aNow, known))
      newest = std::max(newest, known.mReport.mLease);
  }
  return newest;
}

bool
peer_book::HasReader(instant aNow) const
{
  return std::any_of(
    mPeers.begin(), mPeers.end(), [this, aNow](auto const& aEntry) {
      return aEntry.first < mSelf && IsLive(aNow, aEntry.second) &&
             aEntry.second.mReport.mReadsStore;
    });
}

std::uint32_t
peer_book::Rank(instant aNow) const
{
  return static_cast<std::uint32_t>(
    std::count_if(mPeers.begin(), mPeers.end(), [this, aNow](auto const& aAny) {
      return aAny.first < mSelf && IsLive(aNow, aAny.second) &&
             !aAny.second.mReport.mIsLeaving;
    }));
}

}
