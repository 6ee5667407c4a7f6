#include "VirtualFleet.h"

namespace lycheeseam {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration kStepInterval = milliseconds{ 10 };
constexpr duration kLogInterval = milliseconds{ 100 };
constexpr duration kListInterval = seconds{ 1 };

}

virtual_fleet::virtual_fleet(options const& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mReference(aOptions.mRow)
  , mLimits(aOptions.mRow)
{
  mMembers.resize(mOptions.mInstances);
  for (std::size_t i = 0; i < mMembers.size(); ++i) {
    mMembers[i].mIdentity.mInstance = instance_id{ "i" + std::to_string(i) };
    mMembers[i].mClockOffset = RandomTime(seconds{ 0 }, seconds{ 5000 });
    Start(i);
    duration const phase = RandomTime(duration{ 0 }, kStepInterval);
    At(mNow + phase, [this, i]() { Step(i); });
    At(mNow + phase, [this, i]() { ReadLog(i); });
    At(mNow + phase, [this, i]() { ReadList(i); });
  }
}

duration
virtual_fleet::RandomTime(duration aLeast, duration aMost)
{
  std::uniform_int_distribution<duration::rep> spread{ aLeast.count(),
                                                       aMost.count() };
  return duration{ spread(mRandom) };
}

void
virtual_fleet::At(instant aWhen, std::function<void()> aAction)
{
  mEvents.emplace(aWhen, std::move(aAction));
}

void
virtual_fleet::RunUntil(instant aEnd)
{
  while (!mEvents.empty() && mEvents.begin()->first <= aEnd) {
    auto const next = mEvents.extract(mEvents.begin());
    mNow = next.key();
    next.mapped()();
  }
  mNow = aEnd;
}

void
virtual_fleet::Request(std::size_t aMember,
                       token_count aTokens,
                       duration aMaxWait)
{
  if (!IsRunning(aMember))
    return;
  member& target = mMembers[aMember];
  charge_id const charge{ ++mLastCharge };
  mCharges[charge] = aTokens;
  target.mBudget->Charge(LocalNow(target),
                         { .mCharge = charge,
                           .mWorkspace = mOptions.mRow.mName,
                           .mTokens = aTokens,
                           .mDeadline = LocalNow(target) + aMaxWait });
  Flush(aMember);
}

void
virtual_fleet::Start(std::size_t aMember)
{
  member& started = mMembers[aMember];
  started.mIdentity.mIncarnation = started.mIdentity.mIncarnation.Next();
  started.mIsUp = true;
  started.mNextEntry = 0;
  started.mBudget = std::make_unique<fleet_budget>(
    started.mIdentity, mOptions.mLayout, mOptions.mTiming, mOptions.mTakeover);
  started.mBudget->OnLimits(LocalNow(started), mOptions.mRow);
  // A starting member takes what a random peer has folded and reads the rest
  // from the log.
  std::size_t const peer =
    std::uniform_int_distribution<std::size_t>{ 0,
                                                mMembers.size() - 1 }(mRandom);
  if (mMembers[peer].mIsUp)
    FoldUpTo(started, mMembers[peer].mNextEntry);
}

void
virtual_fleet::Step(std::size_t aMember)
{
  At(mNow + kStepInterval, [this, aMember]() { Step(aMember); });
  if (!IsRunning(aMember))
    return;
  member& self = mMembers[aMember];
  self.mBudget->Tick(LocalNow(self));
  for (slot_claim const& claim : self.mBudget->TakeClaims(LocalNow(self))) {
    if (ReachesPlatform(self))
      Append(claim);
  }
  Flush(aMember);
}

void
virtual_fleet::ReadLog(std::size_t aMember)
{
  At(mNow + kLogInterval, [this, aMember]() { ReadLog(aMember); });
  member& self = mMembers[aMember];
  if (!IsRunning(aMember) || !ReachesPlatform(self))
    return;
  // The answer shows the tail at the time when the log handled the request.
  std::size_t const tail = mLog.size();
  instant const requestedAt = LocalNow(self);
  incarnation const current = self.mIdentity.mIncarnation;
  duration const delay = RandomTime(milliseconds{ 1 }, milliseconds{ 40 });
  At(mNow + delay, [this, aMember, tail, requestedAt, current]() {
    member& reader = mMembers[aMember];
    if (!IsRunning(aMember) || reader.mIdentity.mIncarnation != current)
      return;
    FoldUpTo(reader, tail);
    reader.mBudget->OnTailRead(requestedAt, log_offset{ tail });
    Flush(aMember);
  });
}

void
virtual_fleet::FoldUpTo(member& aMember, std::size_t aEnd)
{
  for (; aMember.mNextEntry < aEnd; ++aMember.mNextEntry) {
    entry const& next = mLog[aMember.mNextEntry];
    if (next.mLimits)
      aMember.mBudget->OnLimits(LocalNow(aMember), *next.mLimits);
    aMember.mBudget->OnEntry(LocalNow(aMember), next.mRecord);
  }
}

void
virtual_fleet::ReadList(std::size_t aMember)
{
  At(mNow + kListInterval, [this, aMember]() { ReadList(aMember); });
  member& self = mMembers[aMember];
  if (!IsRunning(aMember) || !ReachesPlatform(self))
    return;
  std::vector<instance_id> live;
  for (member const& other : mMembers) {
    if (other.mIsUp && mNow >= other.mHiddenUntil)
      live.push_back(other.mIdentity.mInstance);
  }
  self.mBudget->OnInstanceList(LocalNow(self), live);
}

void
virtual_fleet::Append(slot_claim aClaim)
{
  // One append in ten is late, so that its claim may be outdated by then.
  bool const isLate = mRandom() % 10 == 0;
  duration const delay = isLate
                           ? RandomTime(milliseconds{ 500 }, seconds{ 6 })
                           : RandomTime(milliseconds{ 1 }, milliseconds{ 30 });
  At(mNow + delay, [this, claim = std::move(aClaim)]() {
    if (mNow < mLogOutageUntil)
      return;
    mLog.push_back({ .mRecord = { .mOffset = log_offset{ mLog.size() + 1 },
                                  .mRecord = claim },
                     .mLimits = std::nullopt });
  });
}

void
virtual_fleet::Send(std::size_t aFrom, budget_envelope aEnvelope)
{
  auto const isTarget = [&aEnvelope](member const& aMember) {
    return aMember.mIdentity.mInstance == aEnvelope.mTo;
  };
  auto const found = std::ranges::find_if(mMembers, isTarget);
  if (found == mMembers.end())
    return;
  std::size_t const to = static_cast<std::size_t>(found - mMembers.begin());
  bool const isLost = std::uniform_real_distribution<double>{}(mRandom) < mLoss;
  if (to != aFrom && (isLost || ArePartitioned(aFrom, to)))
    return;
  duration const delay = to == aFrom
                           ? duration{ 0 }
                           : RandomTime(milliseconds{ 1 }, milliseconds{ 4 });
  std::uint64_t const current = found->mIdentity.mIncarnation.Value();
  At(mNow + delay,
     [this, to, current, message = std::move(aEnvelope.mMessage)]() {
       Deliver(to, current, message);
     });
}

void
virtual_fleet::Deliver(std::size_t aTo,
                       std::uint64_t aIncarnation,
                       budget_message const& aMessage)
{
  member& target = mMembers[aTo];
  if (!target.mIsUp || target.mIdentity.mIncarnation.Value() != aIncarnation)
    return;
  // A paused member receives its messages after the pause.
  if (mNow < target.mPausedUntil) {
    At(target.mPausedUntil, [this, aTo, aIncarnation, aMessage]() {
      Deliver(aTo, aIncarnation, aMessage);
    });
    return;
  }
  token_count const before = target.mBudget->Counters().mTokensRefunded;
  std::uint64_t const opened = target.mBudget->Counters().mSlotsOpened;
  target.mBudget->OnMessage(LocalNow(target), aMessage);
  mReference.Refund(mNow, target.mBudget->Counters().mTokensRefunded - before);
  mOpened += target.mBudget->Counters().mSlotsOpened - opened;
  // A member that lags takes the missing entries from a peer that has them.
  quorum_answer const* const answer = std::get_if<quorum_answer>(&aMessage);
  if (answer != nullptr && answer->mTo == target.mIdentity)
    FoldUpTo(target, std::min(answer->mFolded.Value(), mLog.size()));
  Flush(aTo);
}

void
virtual_fleet::Flush(std::size_t aMember)
{
  member& self = mMembers[aMember];
  for (budget_envelope& envelope : self.mBudget->TakeOutbox())
    Send(aMember, std::move(envelope));
  for (charge_decision const& decision : self.mBudget->TakeDecisions())
    Decide(aMember, decision);
}

void
virtual_fleet::Decide(std::size_t aMember, charge_decision const& aDecision)
{
  token_count const tokens = mCharges.at(aDecision.mCharge);
  mCharges.erase(aDecision.mCharge);
  if (aDecision.mResult != charge_result::Admitted) {
    ++mTally.mRefused;
    return;
  }
  ++mTally.mAdmitted;
  mTally.mAdmittedTokens += tokens;
  mReference.Charge(mNow, tokens);
  token_count const used = std::uniform_int_distribution<token_count>{
    tokens * mOptions.mLeastUsed / 100, tokens
  }(mRandom);
  incarnation const current = mMembers[aMember].mIdentity.mIncarnation;
  duration const span = RandomTime(milliseconds{ 50 }, seconds{ 3 });
  charge_id const charge = aDecision.mCharge;
  At(mNow + span, [this, aMember, current, charge, used]() {
    member& self = mMembers[aMember];
    if (!IsRunning(aMember) || self.mIdentity.mIncarnation != current)
      return;
    self.mBudget->Settle(charge, used);
    Flush(aMember);
  });
}

bool
virtual_fleet::IsRunning(std::size_t aMember) const
{
  member const& self = mMembers[aMember];
  return self.mIsUp && mNow >= self.mPausedUntil;
}

bool
virtual_fleet::ArePartitioned(std::size_t aLeft, std::size_t aRight) const
{
  member const& left = mMembers[aLeft];
  member const& right = mMembers[aRight];
  bool const leftSeparates =
    mNow < left.mPartitionedUntil && !left.mPartition.contains(aRight);
  bool const rightSeparates =
    mNow < right.mPartitionedUntil && !right.mPartition.contains(aLeft);
  return leftSeparates || rightSeparates;
}

bool
virtual_fleet::ReachesPlatform(member const& aMember) const
{
  bool const isPartitioned =
    mNow < aMember.mPartitionedUntil && aMember.mLosesPlatform;
  return mNow >= mLogOutageUntil && !isPartitioned;
}

instant
virtual_fleet::LocalNow(member const& aMember) const
{
  return mNow + aMember.mClockOffset;
}

}
