#include <LibStore/TopicState.h>

#include <set>
#include <string_view>

namespace lycheeseam {

std::vector<keyed_record>
topic_state::Apply(topic_page const& aPage, bool aIsComplete)
{
  std::vector<keyed_record> newRecords;
  for (keyed_record const& record : aPage.mRecords) {
    auto const [entry, isNew] = mKeys.try_emplace(record.mKey);
    if (!isNew && record.mPosition <= entry->second.mPosition)
      continue;
    entry->second = { .mPosition = record.mPosition,
                      .mIsDeleted = !record.mValue };
    newRecords.push_back(record);
  }
  if (aIsComplete)
    AddDeletions(aPage, newRecords);
  return newRecords;
}

void
topic_state::AddDeletions(topic_page const& aPage,
                          std::vector<keyed_record>& aNewRecords)
{
  std::set<std::string_view> listed;
  for (keyed_record const& record : aPage.mRecords)
    listed.insert(record.mKey);
  for (known_keys::value_type& entry : mKeys) {
    std::string const& key = entry.first;
    known_key& known = entry.second;
    bool const isCovered = known.mPosition < aPage.mEnd;
    if (known.mIsDeleted || !isCovered || listed.contains(key))
      continue;
    known.mIsDeleted = true;
    aNewRecords.push_back({ .mPosition = known.mPosition, .mKey = key });
  }
}

}
