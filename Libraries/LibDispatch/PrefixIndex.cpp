#include <LibDispatch/PrefixIndex.h>

#include <chrono>

namespace lycheeseam {

namespace {

// A busy engine's cache holds about ten prompts and evicts few of them within
// this time.
constexpr duration kCacheLifetime = std::chrono::seconds{ 3 };

// A holder that is this fresh is not replaced. It is well below kCacheLifetime,
// so that parts in constant use always have a known holder.
constexpr duration kRecentTime = std::chrono::seconds{ 1 };

// A part is copied to the KV cache store again well before the store, which
// evicts the least recently used parts, is likely to have evicted it.
constexpr duration kStoreInterval = std::chrono::seconds{ 20 };

// Earlier holders that are remembered: enough for one in each failure domain.
constexpr std::size_t kEarlierHolders = 3;

}

void
prefix_index::OnServed(instant aNow, prefix_holder const& aHolder)
{
  record& found = mRecords[aHolder.mKey];
  if (found.mServer != aHolder.mServer) {
    std::erase_if(found.mEarlier, [&aHolder](earlier_holder const& aEarlier) {
      return aEarlier.mServer == aHolder.mServer;
    });
    if (!found.mServer.IsEmpty())
      found.mEarlier.push_back({ found.mServer, found.mServedAt });
    if (found.mEarlier.size() > kEarlierHolders)
      found.mEarlier.erase(found.mEarlier.begin());
  }
  found.mServer = aHolder.mServer;
  found.mServedAt = aNow;
  if (aHolder.mIsStored)
    found.mStoredAt = aNow;
}

void
prefix_index::OnStored(instant aNow, std::uint64_t aKey)
{
  mRecords[aKey].mStoredAt = aNow;
}

std::optional<backend_server_id>
prefix_index::Holder(instant aNow, std::uint64_t aKey) const
{
  auto const found = mRecords.find(aKey);
  if (found == mRecords.end() || found->second.mServer.IsEmpty() ||
      aNow - found->second.mServedAt > kCacheLifetime)
    return std::nullopt;
  return found->second.mServer;
}

std::vector<backend_server_id>
prefix_index::Holders(instant aNow, std::uint64_t aKey) const
{
  std::vector<backend_server_id> holders;
  std::optional<backend_server_id> const latest = Holder(aNow, aKey);
  if (!latest)
    return holders;
  holders.push_back(*latest);
  std::vector<earlier_holder> const& earlier = mRecords.at(aKey).mEarlier;
  for (auto holder = earlier.rbegin(); holder != earlier.rend(); ++holder) {
    if (aNow - holder->mServedAt <= kCacheLifetime)
      holders.push_back(holder->mServer);
  }
  return holders;
}

bool
prefix_index::IsRecent(instant aNow, std::uint64_t aKey) const
{
  auto const found = mRecords.find(aKey);
  return found != mRecords.end() &&
         aNow - found->second.mServedAt <= kRecentTime;
}

bool
prefix_index::IsStored(instant aNow, std::uint64_t aKey) const
{
  auto const found = mRecords.find(aKey);
  return found != mRecords.end() && found->second.mStoredAt &&
         aNow - *found->second.mStoredAt < kStoreInterval;
}

void
prefix_index::Prune(instant aNow)
{
  std::erase_if(mRecords, [aNow](auto const& aEntry) {
    record const& known = aEntry.second;
    return aNow - known.mServedAt > kCacheLifetime &&
           (!known.mStoredAt || aNow - *known.mStoredAt > kStoreInterval);
  });
}

}
