#include <LibPlacement/LookupDeadlines.h>

namespace lycheeseam {

lookup_number
lookup_deadlines::Begin(ticket aTicket, instant aNow)
{
  mLast = mLast.Next();
  mWaiting.emplace(
    mLast, waiting{ .mTicket = aTicket, .mDeadline = aNow + kAnswerTimeout });
  return mLast;
}

std::optional<ticket>
lookup_deadlines::End(lookup_number aNumber)
{
  auto const found = mWaiting.find(aNumber);
  if (found == mWaiting.end())
    return std::nullopt;
  ticket const ended = found->second.mTicket;
  mWaiting.erase(found);
  return ended;
}

std::vector<ticket>
lookup_deadlines::Expire(instant aNow)
{
  std::vector<ticket> expired;
  while (!mWaiting.empty() && mWaiting.begin()->second.mDeadline <= aNow) {
    expired.push_back(mWaiting.begin()->second.mTicket);
    mWaiting.erase(mWaiting.begin());
  }
  return expired;
}

std::optional<instant>
lookup_deadlines::NextDeadline() const
{
  if (mWaiting.empty())
    return std::nullopt;
  return mWaiting.begin()->second.mDeadline;
}

}
