#include <LibDispatch/StreamOrigins.h>
#include <LibFleet/SoftwareHistory.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

void
software_history::OnServers(instant aNow,
                            std::span<registered_server const> aServers)
{
  for (registered_server const& server : aServers)
    OnUsed({ .mPool = server.mPool, .mSoftware = server.mSoftware }, aNow);
}

void
software_history::Merge(instant aNow, std::span<software_notice const> aNotices)
{
  for (software_notice const& notice : aNotices)
    OnUsed(notice.mSoftware, aNow - notice.mAge);
}

void
software_history::OnUsed(pool_software const& aSoftware, instant aUsedAt)
{
  instant& usedAt = mUsedAt.try_emplace(aSoftware, aUsedAt).first->second;
  usedAt = std::max(usedAt, aUsedAt);
}

bool
software_history::IsComplete(instant aNow) const
{
  return mIsComplete || aNow - mStartedAt > stream_origins::kLifetime;
}

std::vector<pool_software>
software_history::List(instant aNow) const
{
  std::vector<pool_software> list;
  for (auto const& [software, usedAt] : mUsedAt) {
    if (aNow - usedAt <= stream_origins::kLifetime)
      list.push_back(software);
  }
  return list;
}

std::vector<software_notice>
software_history::Notices(instant aNow) const
{
  std::vector<software_notice> notices;
  for (auto const& [software, usedAt] : mUsedAt)
    notices.push_back(
      { .mSoftware = software,
        .mAge = std::chrono::duration_cast<std::chrono::milliseconds>(
          aNow - usedAt) });
  return notices;
}

void
software_history::Prune(instant aNow)
{
  std::erase_if(mUsedAt, [aNow](auto const& aEntry) {
    return aNow - aEntry.second > stream_origins::kLifetime;
  });
}

}
