#include <LibConfig/ConfigTable.h>
#include <LibConfigLog/RowChanges.h>

#include <Tests/LibPlatform/ConfigSchedule.h>
#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

constexpr std::chrono::seconds kFaultSpan{ 40 };
constexpr std::chrono::seconds kSettleSpan{ 40 };
constexpr std::chrono::milliseconds kReadingSpan{ 100 };
/// Short, so that lagging instances miss records, but longer than an outage and
/// a reader's backoff after it: records that no instance reads in time are
/// lost.
constexpr std::chrono::seconds kRetention{ 10 };
constexpr std::size_t kLongestOutageMs = 4000;
constexpr std::size_t kLongestFreezeMs = 14000;

fake_log_options
LogOptions()
{
  return { .mRetention = kRetention, .mLostPercent = 15, .mLatePercent = 10 };
}

}

config_schedule::config_schedule(std::uint64_t aSeed)
  : mRandom(aSeed)
  , mLog(mQueue, LogOptions(), aSeed)
  , mInstances(kInstances)
  , mSeen(kInstances)
{
  mLog.OnAppended([this](log_entry const& aEntry) { mReference.Add(aEntry); });
  for (std::size_t i = 0; i < kInstances; ++i)
    Start(i);
}

void
config_schedule::Run()
{
  Every(std::chrono::milliseconds{ 120 }, &config_schedule::ProposeSomething);
  Every(std::chrono::milliseconds{ 5000 }, &config_schedule::RestartOne);
  Every(std::chrono::milliseconds{ 6000 }, &config_schedule::FreezeOne);
  Every(std::chrono::milliseconds{ 9000 }, &config_schedule::StartOutage);
  Every(std::chrono::milliseconds{ 40 }, &config_schedule::AddTraffic);
  mQueue.RunUntil(instant{ kFaultSpan });
  mAreFaultsOver = true;
  mLog.SetOutage(false);
  mLog.Options().mLostPercent = 0;
  mLog.Options().mLatePercent = 0;
  mQueue.RunUntil(instant{ kFaultSpan + kSettleSpan });
  // Checkpoints are appended until the end; instances get kReadingSpan to read
  // those up to the settled tail.
  mSettledTail = mLog.Range().mTail;
  mQueue.RunUntil(instant{ kFaultSpan + kSettleSpan + kReadingSpan });
}

void
config_schedule::CheckEnd()
{
  for (std::unique_ptr<config_instance> const& instance : mInstances) {
    log_offset const offset = instance->State().Offset();
    EXPECT_GE(offset, mSettledTail);
    EXPECT_TRUE(instance->Tables() == mReference.At(offset));
    EXPECT_EQ(instance->PendingCount(), 0U);
    EXPECT_TRUE(instance->ConfirmedAt().has_value());
  }
  CheckOutcomes();
  CheckVersionChain();
}

void
config_schedule::Start(std::size_t aIndex)
{
  appender_options const appender{
    .mInstance = instance_id{ "entry-" + std::to_string(aIndex) },
    .mIncarnation = incarnation{ ++mIncarnations },
    .mWindow = 40,
    .mGiveUpAfter = std::chrono::milliseconds{ Pick(2) == 0 ? 0 : 2000 },
  };
  checkpoint_options const checkpoints{
    .mInterval = 200,
    .mLongestAge = std::chrono::seconds{ 2 },
    .mSpread = std::chrono::milliseconds{ 500 },
  };
  auto const onState = [this, aIndex](config_instance::state const& aState) {
    OnState(aIndex, aState);
  };
  mSeen[aIndex] = {};
  mInstances[aIndex] = std::make_unique<config_instance>(
    mQueue, mLog, appender, checkpoints, mRandom(), onState);
}

// Guards against an instance that goes back to an earlier offset, or whose
// tables differ from those of the fold over the complete log at that offset.
void
config_schedule::OnState(std::size_t aIndex,
                         config_instance::state const& aState)
{
  log_offset const offset = aState.Offset();
  EXPECT_GT(offset, mSeen[aIndex]);
  if (offset != mSeen[aIndex].Next())
    ++mJumps;
  mSeen[aIndex] = offset;
  EXPECT_TRUE(aState.Get<config_fold>().Tables() == mReference.At(offset));
}

void
config_schedule::Every(std::chrono::milliseconds aMean,
                       void (config_schedule::*aAction)())
{
  std::uniform_int_distribution<std::int64_t> pause{ 1, 2 * aMean.count() };
  mQueue.After(std::chrono::milliseconds{ pause(mRandom) }, [=, this]() {
    if (mAreFaultsOver)
      return;
    (this->*aAction)();
    Every(aMean, aAction);
  });
}

void
config_schedule::ProposeSomething()
{
  config_instance& author = AnyInstance();
  // An instance that has not loaded a state yet doesn't know the tail, so the
  // offsets in its window are in the past.
  if (author.State().Offset() == log_offset{})
    return;
  config_proposal proposal;
  proposal.mChanges.push_back(AnyChange(author.Tables()));
  if (Pick(3) == 0)
    proposal.mChanges.push_back(AnyChange(author.Tables()));
  author.Propose(proposal, [this, &author](append_outcome const& aOutcome) {
    config_fold const& fold = author.State().Get<config_fold>();
    proposal_outcome const* const verdict =
      fold.FindOutcome(aOutcome.mProposal);
    reported_outcome reported{ .mOutcome = aOutcome };
    if (verdict)
      reported.mVerdict = *verdict;
    mReported.push_back(std::move(reported));
  });
}

void
config_schedule::RestartOne()
{
  std::size_t const index = Pick(kInstances);
  std::size_t const peer = Pick(kInstances);
  Start(index);
  // Starts from a peer's snapshot when the peer has one; the peer may lag.
  config_instance::state const& snapshot = mInstances[peer]->State();
  if (peer != index && snapshot.Offset() > log_offset{})
    mInstances[index]->LoadSnapshot(snapshot);
}

void
config_schedule::FreezeOne()
{
  std::chrono::milliseconds const span{ Pick(kLongestFreezeMs) };
  // Only one instance is frozen at a time: the others have to read the records
  // that are appended meanwhile.
  if (mQueue.Now() < mFrozenUntil)
    return;
  mFrozenUntil = mQueue.Now() + span;
  AnyInstance().Freeze(mFrozenUntil);
}

void
config_schedule::StartOutage()
{
  mLog.SetOutage(true);
  std::chrono::milliseconds const span{ 100 + Pick(kLongestOutageMs) };
  mQueue.After(span, [this]() { mLog.SetOutage(false); });
}

// Adds other records to the log, so that the retained range moves on.
void
config_schedule::AddTraffic()
{
  mLog.Append(no_operation{}, [](append_result const&) {});
}

void
config_schedule::CheckOutcomes()
{
  for (reported_outcome const& reported : mReported) {
    auto const found = mReference.Outcomes().find(reported.mOutcome.mProposal);
    bool const isKnown = found != mReference.Outcomes().end();
    bool const isInForce =
      isKnown && found->second.mStatus == proposal_status::Accepted;
    if (reported.mOutcome.mEnd == append_end::NotApplied) {
      EXPECT_FALSE(isInForce) << reported.mOutcome.mProposal.Text()
                              << " was reported as not applied but is in force";
    }
    if (reported.mOutcome.mEnd != append_end::Applied)
      continue;
    EXPECT_TRUE(reported.mVerdict.has_value() && isKnown);
    EXPECT_TRUE(reported.mVerdict == found->second);
  }
}

// Checks without the fold that the first change in log order wins: each
// accepted change is based on the previous accepted change of its row.
void
config_schedule::CheckVersionChain()
{
  std::map<row_reference, log_offset> versions;
  for (log_entry const& entry : mLog.History()) {
    config_proposal const* const proposal =
      std::get_if<config_proposal>(&entry.mRecord);
    if (!proposal)
      continue;
    auto const found = mReference.Outcomes().find(proposal->mOrigin.mProposal);
    if (found == mReference.Outcomes().end()) {
      // Only a proposal beyond its last offset has no outcome.
      EXPECT_GT(entry.mOffset, proposal->mOrigin.mLastOffset);
      continue;
    }
    proposal_outcome const& outcome = found->second;
    bool const isFirst = outcome.mOffset == entry.mOffset;
    if (!isFirst || outcome.mStatus != proposal_status::Accepted)
      continue;
    EXPECT_LE(entry.mOffset, proposal->mOrigin.mLastOffset);
    for (any_row_change const& change : proposal->mChanges) {
      auto const check = [&](auto const& aTyped) {
        log_offset& version = versions[RowOf(change)];
        EXPECT_EQ(aTyped.mBase.Value(), version.Value());
        version = aTyped.mRow ? entry.mOffset : log_offset{};
      };
      std::visit(check, change);
    }
  }
}

std::size_t
config_schedule::Pick(std::size_t aCount)
{
  return std::uniform_int_distribution<std::size_t>{ 0, aCount - 1 }(mRandom);
}

any_row_change
config_schedule::AnyChange(config_tables const& aTables)
{
  std::string const name{ "abc"[Pick(3)] };
  bool const isDelete = Pick(4) == 0;
  if (Pick(2) == 0) {
    pool_row pool = PoolRow(name);
    pool.mMaxOutstanding = static_cast<std::uint32_t>(1 + Pick(100));
    std::uint64_t const base = VersionOf<pool_row>(aTables, pool.mName).Value();
    return isDelete ? DeletePool(name, base) : Put(pool, base);
  }
  route_row const route = RouteRow(name, std::string{ "abc"[Pick(3)] });
  row_version const base = VersionOf<route_row>(aTables, route.mName);
  route_change change{ route.mName, base, route };
  if (isDelete)
    change.mRow.reset();
  return change;
}

}
