#include "LaggingList.h"

#include <algorithm>

namespace lycheeseam::standin {

namespace {

/// How many past states are kept. A lag that reaches further back reads the
/// oldest of them.
constexpr std::size_t kKeptStates = 4096;

void
Erase(instance_list& aList, instance_id const& aInstance)
{
  auto const isSame = [&aInstance](listed_instance const& aListed) {
    return aListed.mId == aInstance;
  };
  std::erase_if(aList.mInstances, isSame);
}

}

void
lagging_list::Put(listed_instance const& aInstance, instant aNow)
{
  instance_list next = mStates.back().mList;
  Erase(next, aInstance.mId);
  next.mInstances.push_back(aInstance);
  AddState(std::move(next), aNow);
}

void
lagging_list::Remove(instance_id const& aInstance, instant aNow)
{
  instance_list next = mStates.back().mList;
  Erase(next, aInstance);
  AddState(std::move(next), aNow);
}

instance_list
lagging_list::Read(instant aNow, duration aLag) const
{
  for (auto entry = mStates.rbegin(); entry != mStates.rend(); ++entry) {
    if (entry->mSince + aLag <= aNow)
      return entry->mList;
  }
  return mStates.front().mList;
}

void
lagging_list::AddState(instance_list aList, instant aNow)
{
  mStates.push_back({ .mSince = aNow, .mList = std::move(aList) });
  if (mStates.size() > kKeptStates)
    mStates.pop_front();
}

}
