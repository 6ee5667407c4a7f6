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
    entry->second = record;
    newRecords.push_back(record);
  }
  if (aIsComplete)
    AddDeletions(aPage, newRecords);
  return newRecords;
}

std::vector<keyed_record>
topic_state::Records() const
{
  std::vector<keyed_record> records;
  for (auto const& [key, known] : mKeys) {
    if (known.mValue)
      records.push_back(known);
  }
  return records;
}

keyed_record const*
topic_state::Find(std::string_view aKey) const
{
  auto const found = mKeys.find(aKey);
  return found == mKeys.end() ? nullptr : &found->second;
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
    keyed_record& known = entry.second;
    bool const isCovered = known.mPosition < aPage.mEnd;
    if (!known.mValue || !isCovered || listed.contains(key))
      continue;
    known.mValue.reset();
    aNewRecords.push_back({ .mPosition = known.mPosition, .mKey = key });
  }
}

}
