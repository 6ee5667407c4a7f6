#include <LibFleet/ServerRegistry.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace lycheeseam {

namespace {

// Running servers that reach the store register again within two seconds of its
// return.
constexpr duration kGracePeriod = std::chrono::milliseconds{ 2'200 };

// Entries expire after three missed heartbeats of 1.2 s, the last of which may
// have been due up to one interval before the outage. After a shorter outage a
// dropped entry is one that its server, or its operator, removed. Peers report
// that they are answered for up to 1.3 s longer than they are.
constexpr duration kMinOutage = std::chrono::seconds{ 1 };

// Longer than a copy from which the store is restored is old.
constexpr duration kRemovedKeptFor = std::chrono::minutes{ 2 };

// True when aServer is the earlier one of two entries of one incarnation.
bool
IsEarlier(registered_server const& aServer, registered_server const& aKnown)
{
  return aServer.mIncarnation == aKnown.mIncarnation &&
         aServer.mEntries < aKnown.mEntries;
}

// True when an entry of another incarnation than the known one may be a copy
// from before it, which a restored store shows again. aKnownEra is the era of
// the server's entry before.
bool
MayBeCopy(incarnation aIncarnation,
          store_era aEra,
          incarnation aKnown,
          store_era aKnownEra)
{
  return aEra != aKnownEra && aIncarnation < aKnown;
}

}

bool
server_registry::OnEntry(registered_server aServer, store_era aEra)
{
  if (IsOfRemoved(aServer, aEra))
    return false;
  mRemoved.erase(aServer.mId);
  entry& known =
    mEntries.try_emplace(aServer.mId, entry{ .mEra = aEra }).first->second;
  store_era const knownEra = std::exchange(known.mEra, aEra);
  if (IsEarlier(aServer, known.mServer) ||
      MayBeCopy(
        aServer.mIncarnation, aEra, known.mServer.mIncarnation, knownEra))
    return false;
  if (aServer.mIncarnation == known.mServer.mIncarnation)
    aServer.KeepNewerVersions(known.mServer);
  bool const isNew = aServer.mIncarnation != known.mServer.mIncarnation ||
                     aServer.mStage != known.mServer.mStage;
  known.mServer = std::move(aServer);
  known.mGracePeriodEnd.reset();
  return isNew;
}

duration
server_registry::OnDropped(instant aNow, backend_server_id const& aServer)
{
  auto const found = mEntries.find(aServer);
  if (found == mEntries.end())
    return {};
  if (!mOutageEnd || aNow - *mOutageEnd >= kGracePeriod) {
    Remove(aNow, found);
    return {};
  }
  found->second.mGracePeriodEnd = *mOutageEnd + kGracePeriod;
  return *found->second.mGracePeriodEnd - aNow;
}

bool
server_registry::OnAddressTaken(instant aNow, server_identity const& aServer)
{
  auto const found = mEntries.find(aServer.mServer);
  if (found == mEntries.end() ||
      found->second.mServer.mIncarnation != aServer.mIncarnation)
    return false;
  Remove(aNow, found);
  return true;
}

void
server_registry::OnEarlierEntry(registered_server const& aServer)
{
  auto const found = mRemoved.find(aServer.mId);
  if (found == mRemoved.end() ||
      found->second.mIncarnation != aServer.mIncarnation)
    return;
  std::uint64_t& entries = found->second.mEntries;
  entries = std::max(entries, aServer.mEntries);
}

bool
server_registry::IsOfRemoved(registered_server const& aServer, store_era aEra)
{
  auto const found = mRemoved.find(aServer.mId);
  if (found == mRemoved.end())
    return false;
  removed_server& removed = found->second;
  store_era const knownEra = std::exchange(removed.mEra, aEra);
  if (aServer.mIncarnation != removed.mIncarnation)
    return MayBeCopy(
      aServer.mIncarnation, aEra, removed.mIncarnation, knownEra);
  return removed.mMayReappear && aServer.mEntries > 0 &&
         aServer.mEntries <= removed.mEntries;
}

void
server_registry::OnStoreRestored(instant aNow)
{
  mOutageEnd = aNow;
  for (auto& [id, removed] : mRemoved)
    removed.mMayReappear = true;
}

void
server_registry::Remove(instant aNow, entries::iterator aEntry)
{
  registered_server const& server = aEntry->second.mServer;
  mRemoved[server.mId] = { .mIncarnation = server.mIncarnation,
                           .mEra = aEntry->second.mEra,
                           .mEntries = server.mEntries,
                           .mRemovedAt = aNow };
  mEntries.erase(aEntry);
}

void
server_registry::OnRunning(instant aNow)
{
  duration const pause = aNow - mRunningAt.value_or(aNow);
  mRunningAt = aNow;
  if (pause >= kMinPause && mAnsweredAt)
    mAnsweredAt = std::min(aNow, *mAnsweredAt + pause);
}

void
server_registry::OnStoreAnswer(instant aNow)
{
  // After a pause, an answer may be handled before the next tick. Without any
  // tick so far, a gap can't be told from a pause.
  if (mRunningAt)
    OnRunning(aNow);
  if (mAnsweredAt && aNow - *mAnsweredAt >= kMinOutage)
    mOutageEnd = aNow;
  mAnsweredAt = aNow;
}

bool
server_registry::OnObservedWeights(backend_server_id const& aServer,
                                   incarnation aIncarnation,
                                   model_name const& aModel,
                                   std::uint64_t aVersion)
{
  auto const found = mEntries.find(aServer);
  return found != mEntries.end() &&
         found->second.mServer.mIncarnation == aIncarnation &&
         found->second.mServer.RaiseVersion(aModel, aVersion);
}

bool
server_registry::OnObservedWeights(std::span<observed_weights const> aObserved)
{
  bool areNew = false;
  for (observed_weights const& observed : aObserved)
    areNew |= OnObservedWeights(observed.mServer,
                                observed.mIncarnation,
                                observed.mModel,
                                observed.mVersion);
  return areNew;
}

bool
server_registry::Expire(instant aNow)
{
  std::erase_if(mRemoved, [aNow](auto const& aEntry) {
    return aNow - aEntry.second.mRemovedAt > kRemovedKeptFor;
  });
  bool isAnyExpired = false;
  for (entries::iterator entry = mEntries.begin(); entry != mEntries.end();) {
    entries::iterator const current = entry++;
    std::optional<instant> const end = current->second.mGracePeriodEnd;
    if (!end || aNow < *end)
      continue;
    Remove(aNow, current);
    isAnyExpired = true;
  }
  return isAnyExpired;
}

bool
server_registry::IsInForce(registered_server const& aServer) const
{
  auto const found = mEntries.find(aServer.mId);
  return found != mEntries.end() &&
         found->second.mServer.mIncarnation == aServer.mIncarnation &&
         found->second.mServer.mStage == aServer.mStage;
}

std::vector<registered_server>
server_registry::Servers() const
{
  std::vector<registered_server> servers;
  servers.reserve(mEntries.size());
  for (auto const& [id, known] : mEntries)
    servers.push_back(known.mServer);
  return servers;
}

}
