#include <LibDispatch/StreamOrigins.h>

#include <xxhash.h>

#include <string>

namespace lycheeseam {

std::uint64_t
stream_origins::Key(request_id const& aStream)
{
  std::string const& text = aStream.Text();
  return XXH3_64bits(text.data(), text.size());
}

void
stream_origins::OnSent(instant aNow, stream_origin const& aOrigin)
{
  record& known = mRecords[aOrigin.mStream];
  bool const isSame =
    known.mSentAt != instant{} && known.mSoftware == aOrigin.mSoftware;
  known.mSoftware = aOrigin.mSoftware;
  known.mSentAt = aNow;
  known.mIsUnreported |= !isSame;
}

std::vector<stream_origin>
stream_origins::Merge(instant aNow, std::span<stream_origin const> aReported)
{
  std::vector<stream_origin> news;
  for (stream_origin const& origin : aReported) {
    auto const [entry, isNew] = mRecords.try_emplace(
      origin.mStream, record{ .mSoftware = origin.mSoftware, .mSentAt = aNow });
    bool const isContradiction =
      !isNew && entry->second.mSoftware != origin.mSoftware;
    if (isNew || (isContradiction && !entry->second.mIsAmbiguous))
      news.push_back(origin);
    entry->second.mIsAmbiguous |= isContradiction;
  }
  return news;
}

std::optional<software_version>
stream_origins::Find(instant aNow, std::uint64_t aStream) const
{
  auto const found = mRecords.find(aStream);
  if (found == mRecords.end() || !IsUsable(aNow, found->second))
    return std::nullopt;
  return found->second.mSoftware;
}

std::vector<stream_origin>
stream_origins::TakeUnreported(instant aNow)
{
  std::vector<stream_origin> taken;
  for (records::value_type& entry : mRecords) {
    record& known = entry.second;
    if (!known.mIsUnreported)
      continue;
    known.mIsUnreported = false;
    if (aNow - known.mSentAt <= kLifetime)
      taken.push_back({ .mStream = entry.first, .mSoftware = known.mSoftware });
  }
  return taken;
}

std::vector<stream_origin>
stream_origins::List(instant aNow) const
{
  std::vector<stream_origin> list;
  for (auto const& [stream, known] : mRecords) {
    if (IsUsable(aNow, known))
      list.push_back({ .mStream = stream, .mSoftware = known.mSoftware });
  }
  return list;
}

void
stream_origins::Prune(instant aNow)
{
  std::erase_if(mRecords, [aNow](auto const& aEntry) {
    return aNow - aEntry.second.mSentAt > kLifetime;
  });
}

bool
stream_origins::IsUsable(instant aNow, record const& aRecord)
{
  return !aRecord.mIsAmbiguous && aNow - aRecord.mSentAt <= kLifetime;
}

}
