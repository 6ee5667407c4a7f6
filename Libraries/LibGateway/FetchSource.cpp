#include <LibDispatch/ChooseByCost.h>
#include <LibDispatch/ChooseServer.h>
#include <LibGateway/FetchSource.h>

namespace lycheeseam {

namespace {

// The address of a server from which aServer can fetch what it caches, or
// nothing.
std::optional<endpoint>
HolderAddress(traffic_core& aCore,
              server_choice_request const& aChoiceRequest,
              tracked_server const& aServer,
              backend_server_id const& aHolder)
{
  std::shared_ptr<tracked_server> const known = aCore.Servers().Find(aHolder);
  bool const isUsable =
    known && !known->mIsUpdating &&
    known->mBreaker.State(aChoiceRequest.mNow) == breaker_state::Closed &&
    known->mRegistered.VersionOf(aChoiceRequest.mModel) ==
      aServer.mRegistered.VersionOf(aChoiceRequest.mModel);
  return isUsable ? std::optional{ known->mRegistered.mAddress } : std::nullopt;
}

// Where the server can fetch what it caches under a key, if anywhere. Servers
// of adaptive pools prefer a holder in their own failure domain, because bytes
// that cross domains are priced.
std::optional<endpoint>
HolderOf(traffic_core& aCore,
         server_choice_request const& aChoiceRequest,
         tracked_server const& aServer,
         std::uint64_t aKey)
{
  instant const now = aChoiceRequest.mNow;
  std::optional<endpoint> first;
  for (backend_server_id const& holder : aCore.Prefixes().Holders(now, aKey)) {
    std::optional<endpoint> address =
      HolderAddress(aCore, aChoiceRequest, aServer, holder);
    if (!aCore.Servers().IsAdaptive(now, aServer.mRegistered.mPool))
      return address;
    if (!address || holder == aServer.mRegistered.mId)
      continue;
    if (aCore.Servers().Find(holder)->mRegistered.mDomain ==
        aServer.mRegistered.mDomain)
      return address;
    first = first ? first : address;
  }
  return first;
}

// The server that most likely has the shared part when no holder is known. The
// choice by cost ranks servers by their speed as well.
tracked_server const*
SourceByRank(traffic_core& aCore,
             server_choice_request const& aChoiceRequest,
             tracked_server const& aServer)
{
  pool_name const& pool = aServer.mRegistered.mPool;
  std::span<tracked_server* const> const servers = aCore.Servers().Pool(pool);
  if (!aCore.Servers().IsAdaptive(aChoiceRequest.mNow, pool))
    return ChooseCacheSource(servers, aChoiceRequest, aServer);
  return ChooseCacheSourceBySpeed(servers, aChoiceRequest, aServer);
}

}

std::optional<endpoint>
FetchSource(traffic_core& aCore,
            server_choice_request const& aChoiceRequest,
            tracked_server const& aServer,
            std::span<std::uint64_t const> aKeys,
            std::optional<endpoint> const& aStore)
{
  instant const now = aChoiceRequest.mNow;
  for (auto key = aKeys.rbegin(); key != aKeys.rend(); ++key) {
    std::optional<backend_server_id> const holder =
      aCore.Prefixes().Holder(now, *key);
    // The server may have evicted a part of the prefix that it read, which only
    // the store can supply; parts that it still has are not transferred.
    if (holder == aServer.mRegistered.mId)
      return aStore;
    if (std::optional<endpoint> address =
          HolderOf(aCore, aChoiceRequest, aServer, *key))
      return address;
    if (aStore && aCore.Prefixes().IsStored(now, *key))
      return aStore;
  }
  if (aStore)
    return aStore;
  tracked_server const* const source =
    SourceByRank(aCore, aChoiceRequest, aServer);
  if (source != nullptr)
    return source->mRegistered.mAddress;
  return std::nullopt;
}

}
