#include <LibStore/TopicState.h>

#include <set>
#include <string_view>

namespace lycheeseam {

std::vector<keyed_record>
topic_state::Take(topic_page const& aPage, bool aIsWhole)
{
  std::vector<keyed_record> news;
  for (keyed_record const& record : aPage.mRecords) {
    auto const [entry, isNew] = mKeys.try_emplace(record.mKey);
    if (!isNew && record.mOffset <= entry->second.mOffset)
      continue;
    entry->second = { .mOffset = record.mOffset, .mIsDropped = !record.mValue };
    news.push_back(record);
  }
  if (aIsWhole)
    AddMissing(aPage, news);
  return news;
}

void
topic_state::AddMissing(topic_page const& aPage,
                        std::vector<keyed_record>& aNews)
{
  std::set<std::string_view> listed;
  for (keyed_record const& record : aPage.mRecords)
    listed.insert(record.mKey);
  for (known_keys::value_type& entry : mKeys) {
    std::string const& key = entry.first;
    known_key& known = entry.second;
    bool const isCovered = known.mOffset < aPage.mEnd;
    if (known.mIsDropped || !isCovered || listed.contains(key))
      continue;
    known.mIsDropped = true;
    aNews.push_back({ .mOffset = known.mOffset, .mKey = key });
  }
}

}
