#include <LibDispatch/PrefixIndex.h>

#include <chrono>

namespace lycheeseam {

namespace {

// Within this time a busy engine's memory, which holds some ten prompts, has
// hardly turned over.
constexpr duration kCacheLifetime = std::chrono::seconds{ 3 };

// A part is handed to the store anew well before the store, which drops the
// least recently used, would have lost it.
constexpr duration kSaveInterval = std::chrono::seconds{ 20 };

}

void
prefix_index::OnServed(instant aNow, prefix_holder const& aHolder)
{
  record& found = mRecords[aHolder.mKey];
  found.mServer = aHolder.mServer;
  found.mServedAt = aNow;
  if (aHolder.mIsStored)
    found.mSavedAt = aNow;
}

void
prefix_index::OnSaved(instant aNow, std::uint64_t aKey)
{
  mRecords[aKey].mSavedAt = aNow;
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

bool
prefix_index::IsSaved(instant aNow, std::uint64_t aKey) const
{
  auto const found = mRecords.find(aKey);
  return found != mRecords.end() && found->second.mSavedAt &&
         aNow - *found->second.mSavedAt < kSaveInterval;
}

void
prefix_index::Prune(instant aNow)
{
  std::erase_if(mRecords, [aNow](auto const& aEntry) {
    record const& known = aEntry.second;
    return aNow - known.mServedAt > kCacheLifetime &&
           (!known.mSavedAt || aNow - *known.mSavedAt > kSaveInterval);
  });
}

}
