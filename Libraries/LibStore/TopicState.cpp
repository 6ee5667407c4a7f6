#include <LibStore/TopicState.h>

#include <algorithm>
#include <set>
#include <string_view>

namespace lycheeseam {

std::vector<keyed_record>
topic_state::Apply(topic_page const& aPage, bool aIsComplete)
{
  std::vector<keyed_record> newRecords;
  for (keyed_record const& record : aPage.mRecords) {
    auto const [entry, isNew] = mKeys.try_emplace(record.mKey);
    if (!isNew && record.mPosition <= entry->second.mRecord.mPosition)
      continue;
    entry->second = { .mRecord = record, .mSince = record.mPosition };
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
    if (known.mRecord.mValue)
      records.push_back(known.mRecord);
  }
  return records;
}

std::vector<keyed_record>
topic_state::RecordsFrom(store_position aFrom) const
{
  std::vector<keyed_record> records;
  for (auto const& [key, known] : mKeys) {
    if (known.mSince < aFrom)
      continue;
    records.push_back(known.mRecord);
    records.back().mPosition = known.mSince;
  }
  std::sort(records.begin(),
            records.end(),
            [](keyed_record const& aFirst, keyed_record const& aSecond) {
              return aFirst.mPosition < aSecond.mPosition;
            });
  return records;
}

std::vector<keyed_record>
topic_state::MissingFrom(topic_page const& aPage) const
{
  std::set<std::string_view> listed;
  for (keyed_record const& record : aPage.mRecords)
    listed.insert(record.mKey);
  std::vector<keyed_record> missing;
  for (auto const& [key, known] : mKeys) {
    bool const isCovered = known.mRecord.mPosition < aPage.mEnd;
    if (known.mRecord.mValue && isCovered && !listed.contains(key))
      missing.push_back(known.mRecord);
  }
  return missing;
}

keyed_record const*
topic_state::Find(std::string_view aKey) const
{
  auto const found = mKeys.find(aKey);
  return found == mKeys.end() ? nullptr : &found->second.mRecord;
}

void
topic_state::AddDeletions(topic_page const& aPage,
                          std::vector<keyed_record>& aNewRecords)
{
  for (keyed_record const& missing : MissingFrom(aPage)) {
    known_key& known = mKeys.at(missing.mKey);
    known.mRecord.mValue.reset();
    // The page covers the positions before its end, one of which exists.
    known.mSince = store_position::FromNumber(aPage.mEnd.Number() - 1);
    aNewRecords.push_back(
      { .mPosition = missing.mPosition, .mKey = missing.mKey });
  }
}

}
