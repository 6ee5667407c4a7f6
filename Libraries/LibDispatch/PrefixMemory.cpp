#include <LibDispatch/PrefixMemory.h>

#include <chrono>

namespace lycheeseam {

namespace {

// About the time in which a busy engine's memory turns over once.
constexpr duration kCacheLifetime = std::chrono::seconds{ 15 };

// A part is handed to the store anew well before the store, which drops the
// least recently used, would have lost it.
constexpr duration kSaveInterval = std::chrono::seconds{ 8 };

}

void
prefix_memory::OnServed(instant aNow,
                        std::uint64_t aKey,
                        backend_server_id const& aServer)
{
  record& found = mRecords[aKey];
  found.mServer = aServer;
  found.mServedAt = aNow;
}

void
prefix_memory::OnSaved(instant aNow, std::uint64_t aKey)
{
  mRecords[aKey].mSavedAt = aNow;
}

std::optional<backend_server_id>
prefix_memory::Holder(instant aNow, std::uint64_t aKey) const
{
  auto const found = mRecords.find(aKey);
  if (found == mRecords.end() || found->second.mServer.IsEmpty() ||
      aNow - found->second.mServedAt > kCacheLifetime)
    return std::nullopt;
  return found->second.mServer;
}

bool
prefix_memory::IsSaved(instant aNow, std::uint64_t aKey) const
{
  auto const found = mRecords.find(aKey);
  return found != mRecords.end() && found->second.mSavedAt &&
         aNow - *found->second.mSavedAt < kSaveInterval;
}

void
prefix_memory::Prune(instant aNow)
{
  std::erase_if(mRecords, [aNow](auto const& aEntry) {
    return aNow - aEntry.second.mServedAt > kCacheLifetime;
  });
}

}
