#include "StoredLog.h"

namespace lycheeseam::standin {

log_offset
stored_log::Append(std::string aText, std::uint32_t aRetentionRecords)
{
  mTail = mTail.Next();
  mRecords.push_back({ .mOffset = mTail, .mText = std::move(aText) });
  while (mRecords.size() > aRetentionRecords)
    mRecords.pop_front();
  return mTail;
}

std::vector<raw_record>
stored_log::Read(log_offset aFrom, std::size_t aMaxRecords) const
{
  std::vector<raw_record> found;
  log_offset const earliest = Range().mEarliest;
  if (aFrom < earliest)
    return found;
  std::size_t index = aFrom.Value() - earliest.Value();
  while (index < mRecords.size() && found.size() < aMaxRecords)
    found.push_back(mRecords[index++]);
  return found;
}

log_range
stored_log::Range() const
{
  log_offset const earliest =
    mRecords.empty() ? mTail.Next() : mRecords.front().mOffset;
  return { .mEarliest = earliest, .mTail = mTail };
}

}
