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

}

bool
server_registry::OnEntry(registered_server aServer)
{
  entry& known = mEntries[aServer.mId];
  // A late entry of an earlier incarnation says nothing about the current one.
  if (aServer.mIncarnation < known.mServer.mIncarnation)
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
    mEntries.erase(found);
    return {};
  }
  found->second.mGracePeriodEnd = *mOutageEnd + kGracePeriod;
  return *found->second.mGracePeriodEnd - aNow;
}

bool
server_registry::OnAddressTaken(server_identity const& aServer)
{
  auto const found = mEntries.find(aServer.mServer);
  if (found == mEntries.end() ||
      found->second.mServer.mIncarnation != aServer.mIncarnation)
    return false;
  mEntries.erase(found);
  return true;
}

void
server_registry::OnStoreAnswer(instant aNow)
{
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
server_registry::Expire(instant aNow)
{
  return std::erase_if(mEntries, [aNow](auto const& aEntry) {
           return aEntry.second.mGracePeriodEnd &&
                  aNow >= *aEntry.second.mGracePeriodEnd;
         }) > 0;
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
