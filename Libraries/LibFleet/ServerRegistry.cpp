#include <LibFleet/ServerRegistry.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace lycheeseam {

namespace {

// Servers that live and reach the store are back in it within two seconds of
// its return.
constexpr duration kReturnTime = std::chrono::milliseconds{ 2'200 };

}

bool
server_register::OnEntry(registered_server aServer)
{
  entry& known = mEntries[aServer.mId];
  // A late word of an earlier life says nothing of this one.
  if (aServer.mIncarnation < known.mServer.mIncarnation)
    return false;
  if (aServer.mIncarnation == known.mServer.mIncarnation)
    aServer.KeepNewerVersions(known.mServer);
  bool const isNews = aServer.mIncarnation != known.mServer.mIncarnation ||
                      aServer.mStage != known.mServer.mStage;
  known.mServer = std::move(aServer);
  known.mGoneAt.reset();
  return isNews;
}

void
server_register::OnDropped(instant aNow, backend_server_id const& aServer)
{
  auto const found = mEntries.find(aServer);
  if (found == mEntries.end())
    return;
  bool const mayReturn =
    mIsStoreAway || (mStoreBackAt && aNow - *mStoreBackAt < kReturnTime);
  if (!mayReturn) {
    mEntries.erase(found);
    return;
  }
  if (!found->second.mGoneAt)
    found->second.mGoneAt = mStoreBackAt.value_or(aNow) + kReturnTime;
}

bool
server_register::OnAbsent(server_identity const& aGone)
{
  auto const found = mEntries.find(aGone.mServer);
  if (found == mEntries.end() ||
      found->second.mServer.mIncarnation != aGone.mIncarnation)
    return false;
  mEntries.erase(found);
  return true;
}

void
server_register::OnStoreFailure()
{
  mIsStoreAway = true;
}

void
server_register::OnStoreAnswer(instant aNow)
{
  if (std::exchange(mIsStoreAway, false))
    mStoreBackAt = aNow;
}

bool
server_register::OnWeights(backend_server_id const& aServer,
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
server_register::Expire(instant aNow)
{
  return std::erase_if(mEntries, [aNow](auto const& aEntry) {
           return aEntry.second.mGoneAt && aNow >= *aEntry.second.mGoneAt;
         }) > 0;
}

std::vector<registered_server>
server_register::Servers() const
{
  std::vector<registered_server> servers;
  servers.reserve(mEntries.size());
  for (auto const& [id, known] : mEntries)
    servers.push_back(known.mServer);
  return servers;
}

}
