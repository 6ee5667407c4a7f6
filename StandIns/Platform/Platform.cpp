#include "Platform.h"

#include <LibCodec/JsonText.h>
#include <LibPlatform/PlatformForms.h>

#include <utility>

namespace lycheeseam::standin {

using Pistache::Http::Code;

namespace {

constexpr char const* kEmptyBody = "{}";

}

void
platform::Append(std::string aText, responder const& aResponder)
{
  lock const guard{ mMutex };
  if (RefuseInOutage(aResponder))
    return;
  if (mFaults.mLateAppends > 0) {
    --mFaults.mLateAppends;
    auto const appendLate = [this, text = std::move(aText)]() {
      lock const lateGuard{ mMutex };
      AppendAndAnswerReads(text);
    };
    mTasks.RunAfter(mFaults.mLateBy, appendLate);
    Answer(aResponder, Code::Gateway_Timeout, kEmptyBody);
    return;
  }
  append_reply const reply{ .mOffset = AppendAndAnswerReads(std::move(aText)) };
  if (mFaults.mLoseAnswers > 0) {
    --mFaults.mLoseAnswers;
    Answer(aResponder, Code::Gateway_Timeout, kEmptyBody);
    return;
  }
  Answer(aResponder, Code::Ok, ToJsonText(reply));
}

void
platform::Read(pending_read aRead)
{
  lock const guard{ mMutex };
  if (RefuseInOutage(aRead.mResponder))
    return;
  if (TryAnswerRead(aRead))
    return;
  aRead.mNumber = ++mLastRead;
  auto const expire = [this, number = aRead.mNumber]() { ExpireRead(number); };
  mTasks.RunAfter(aRead.mRequest.mMaxWait, expire);
  mPendingReads.push_back(std::move(aRead));
}

void
platform::Offsets(responder const& aResponder)
{
  lock const guard{ mMutex };
  if (!RefuseInOutage(aResponder))
    Answer(aResponder, Code::Ok, ToJsonText(mLog.Range()));
}

void
platform::PutInstance(listed_instance const& aInstance,
                      responder const& aResponder)
{
  lock const guard{ mMutex };
  if (RefuseInOutage(aResponder))
    return;
  mList.Put(aInstance, mClock.Now());
  Answer(aResponder, Code::Ok, kEmptyBody);
}

void
platform::RemoveInstance(instance_id const& aInstance,
                         responder const& aResponder)
{
  lock const guard{ mMutex };
  if (RefuseInOutage(aResponder))
    return;
  mList.Remove(aInstance, mClock.Now());
  Answer(aResponder, Code::Ok, kEmptyBody);
}

void
platform::ListInstances(responder const& aResponder)
{
  lock const guard{ mMutex };
  if (RefuseInOutage(aResponder))
    return;
  instance_list const list = mList.Read(mClock.Now(), mFaults.mListLag);
  Answer(aResponder, Code::Ok, ToJsonText(list));
}

void
platform::FetchWeights(responder const& aResponder)
{
  lock const guard{ mMutex };
  if (RefuseInOutage(aResponder))
    return;
  if (!mWeights.TryTake(mFaults.mWeightsPerSecond, mClock.Now())) {
    Answer(aResponder, Code::Too_Many_Requests, kEmptyBody);
    return;
  }
  auto const send = [aResponder]() { aResponder.Send(Code::Ok, kEmptyBody); };
  mTasks.RunAfter(mFaults.mWeightsTime, send);
}

fault_settings
platform::Faults() const
{
  lock const guard{ mMutex };
  return mFaults;
}

void
platform::SetFaults(fault_settings const& aFaults)
{
  lock const guard{ mMutex };
  mFaults = aFaults;
  if (!mFaults.mOutage)
    return;
  for (pending_read const& read : mPendingReads)
    RefuseInOutage(read.mResponder);
  mPendingReads.clear();
}

void
platform::Answer(responder const& aResponder, Code aCode, std::string aBody)
{
  if (mFaults.mDelay.count() == 0) {
    aResponder.Send(aCode, aBody);
    return;
  }
  auto const send = [aResponder, aCode, body = std::move(aBody)]() {
    aResponder.Send(aCode, body);
  };
  mTasks.RunAfter(mFaults.mDelay, send);
}

bool
platform::RefuseInOutage(responder const& aResponder)
{
  if (mFaults.mOutage)
    Answer(aResponder, Code::Service_Unavailable, kEmptyBody);
  return mFaults.mOutage;
}

log_offset
platform::AppendAndAnswerReads(std::string aText)
{
  log_offset const offset =
    mLog.Append(std::move(aText), mFaults.mRetentionRecords);
  auto const answered = [this](pending_read const& aRead) {
    return TryAnswerRead(aRead);
  };
  std::erase_if(mPendingReads, answered);
  return offset;
}

bool
platform::TryAnswerRead(pending_read const& aRead)
{
  log_range const range = mLog.Range();
  read_request const& request = aRead.mRequest;
  if (request.mFrom < range.mEarliest) {
    Answer(aRead.mResponder, Code::Gone, ToJsonText(range));
    return true;
  }
  bool const isNew = request.mFrom <= range.mTail;
  if (!isNew && request.mMaxWait.count() > 0)
    return false;
  read_reply const reply{ .mRange = range,
                          .mRecords =
                            mLog.Read(request.mFrom, request.mMaxRecords) };
  Answer(aRead.mResponder, Code::Ok, ToJsonText(reply));
  return true;
}

void
platform::ExpireRead(std::uint64_t aNumber)
{
  lock const guard{ mMutex };
  auto const expire = [this, aNumber](pending_read& aRead) {
    if (aRead.mNumber != aNumber)
      return false;
    // TryAnswerRead always answers a read that has no time left to wait.
    aRead.mRequest.mMaxWait = {};
    return TryAnswerRead(aRead);
  };
  std::erase_if(mPendingReads, expire);
}

}
