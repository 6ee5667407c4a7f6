#include <LibAdmission/FairQueue.h>
#include <LibCore/Verify.h>

namespace lycheeseam {

fair_queue::fair_queue(fair_queue_options aOptions)
  : mOptions(aOptions)
  , mClasses{ deficit_round_robin{ aOptions.mQuantum },
              deficit_round_robin{ aOptions.mQuantum },
              deficit_round_robin{ aOptions.mQuantum } }
{
}

void
fair_queue::SetWeight(workspace_id const& aWorkspace, std::uint32_t aWeight)
{
  mWeights[aWorkspace] = aWeight;
}

enqueue_result
fair_queue::Enqueue(admission_request aRequest)
{
  VERIFY(!mRequests.contains(aRequest.mTicket));
  if (mRequests.size() >= mOptions.mMaxWaiting)
    return enqueue_result::QueueFull;
  std::size_t& waiting = mWaitingByWorkspace[aRequest.mWorkspace];
  if (waiting >= mOptions.mMaxWaitingPerWorkspace)
    return enqueue_result::WorkspaceFull;
  ++waiting;
  mRequests.emplace(aRequest.mTicket,
                    waiting_request{ .mWorkspace = aRequest.mWorkspace,
                                     .mPriority = aRequest.mPriority,
                                     .mDeadline = aRequest.mDeadline });
  mDeadlines.emplace(aRequest.mDeadline, aRequest.mTicket);
  deficit_round_robin& waitingClass =
    mClasses.at(static_cast<std::size_t>(aRequest.mPriority));
  waitingClass.Push(std::move(aRequest));
  return enqueue_result::Queued;
}

admission_batch
fair_queue::Next(instant aNow, std::size_t aFree)
{
  admission_batch batch;
  Expire(aNow, batch);
  while (batch.mAdmitted.size() < aFree) {
    std::optional<ticket> const admitted = AdmitOne();
    if (!admitted)
      break;
    batch.mAdmitted.push_back(*admitted);
  }
  return batch;
}

bool
fair_queue::Cancel(ticket aTicket)
{
  auto const found = mRequests.find(aTicket);
  if (found == mRequests.end())
    return false;
  mClasses.at(static_cast<std::size_t>(found->second.mPriority))
    .Remove(found->second.mWorkspace, aTicket);
  Erase(aTicket);
  return true;
}

std::optional<instant>
fair_queue::NextDeadline() const
{
  if (mDeadlines.empty())
    return std::nullopt;
  return mDeadlines.begin()->first;
}

void
fair_queue::Expire(instant aNow, admission_batch& aBatch)
{
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= aNow) {
    ticket const expired = mDeadlines.begin()->second;
    aBatch.mExpired.push_back(expired);
    Cancel(expired);
  }
}

std::optional<ticket>
fair_queue::AdmitOne()
{
  deficit_round_robin* const waiting = PickClass();
  if (waiting == nullptr)
    return std::nullopt;
  std::optional<admission_request> const taken = waiting->Pop(mWeights);
  VERIFY(taken);
  Erase(taken->mTicket);
  return taken->mTicket;
}

deficit_round_robin*
fair_queue::PickClass()
{
  deficit_round_robin* const first = FirstNonEmptyClass(0);
  if (first == nullptr)
    return nullptr;
  std::size_t const below =
    static_cast<std::size_t>(first - mClasses.data()) + 1;
  deficit_round_robin* const lower = FirstNonEmptyClass(below);
  if (lower == nullptr)
    return first;
  ++mSinceLowerClass;
  if (mSinceLowerClass < mOptions.mLowerClassInterval)
    return first;
  mSinceLowerClass = 0;
  return lower;
}

deficit_round_robin*
fair_queue::FirstNonEmptyClass(std::size_t aFrom)
{
  for (std::size_t index = aFrom; index < kClassCount; ++index) {
    if (!mClasses.at(index).IsEmpty())
      return &mClasses.at(index);
  }
  return nullptr;
}

void
fair_queue::Erase(ticket aTicket)
{
  auto const found = mRequests.find(aTicket);
  VERIFY(found != mRequests.end());
  auto const waiting = mWaitingByWorkspace.find(found->second.mWorkspace);
  if (--waiting->second == 0)
    mWaitingByWorkspace.erase(waiting);
  mDeadlines.erase({ found->second.mDeadline, aTicket });
  mRequests.erase(found);
}

}
