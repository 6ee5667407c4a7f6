#include <LibOnce/OnceGate.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kInstances = 4;
constexpr int kKeys = 12;
constexpr std::uint64_t kSchedules = 400;

/// Simulates the gates of several instances over one log, with a backend server
/// that counts how often each key runs. Instances pause and restart, the log is
/// unreachable at times, and appends are lost, delayed or doubled, at random.
class once_fleet
{
public:
  explicit once_fleet(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (std::size_t i = 0; i < kInstances; ++i)
      Start(i);
  }

  void Run(duration aSpan)
  {
    instant const end = mNow + aSpan;
    for (; mNow < end; mNow += milliseconds{ 5 }) {
      while (!mEvents.empty() && mEvents.begin()->first <= mNow)
        mEvents.extract(mEvents.begin()).mapped()();
      if (Chance(0.1))
        Send();
      if (Chance(0.004))
        Crash();
      if (Chance(0.002))
        mLogOutageUntil = mNow + RandomDuration(100, 3000);
      for (std::size_t i = 0; i < kInstances; ++i)
        Step(i);
    }
  }

  std::map<request_key, int> mRuns;
  int mFalseNotRuns = 0;
  int mReplays = 0;
  int mMayHaveRuns = 0;

private:
  struct member
  {
    instance_identity mIdentity;
    std::size_t mNext = 0;
    instant mPausedUntil;
    std::unique_ptr<once_gate> mGate;
  };

  bool Chance(double aShare)
  {
    return std::bernoulli_distribution{ aShare }(mRandom);
  }

  duration RandomDuration(int aMin, int aMax)
  {
    return milliseconds{ std::uniform_int_distribution<int>{ aMin,
                                                             aMax }(mRandom) };
  }

  bool IsAlive(instance_identity const& aIdentity) const
  {
    return std::ranges::any_of(mMembers, [&](member const& aMember) {
      return aMember.mIdentity == aIdentity;
    });
  }

  void Start(std::size_t aMember)
  {
    member& started = mMembers[aMember];
    started.mIdentity = { instance_id{ "i" + std::to_string(aMember) },
                          started.mIdentity.mIncarnation.Next() };
    started.mNext = 0;
    started.mGate = std::make_unique<once_gate>(
      started.mIdentity, batch_limits{}, claim_window{});
  }

  void Crash()
  {
    std::size_t const who = mRandom() % kInstances;
    if (Chance(0.5))
      mMembers[who].mPausedUntil = mNow + RandomDuration(50, 4000);
    else
      Start(who);
  }

  // Sends a request with one of a few keys to a random instance.
  void Send()
  {
    member& target = mMembers[mRandom() % kInstances];
    std::string const key = "key" + std::to_string(mRandom() % kKeys);
    once_request const request{
      .mId = request_id{ "r" + std::to_string(++mRequests) },
      .mIdempotency = idempotency::NonIdempotent,
      .mKey = request_key{ workspace_id{ "riga" }, idempotency_key{ key } },
      .mDeadline = mNow + RandomDuration(50, 1500)
    };
    mKeys[request.mId] = *request.mKey;
    log_state const log =
      mNow < mLogOutageUntil ? log_state::Unreachable : log_state::Reachable;
    if (mNow < target.mPausedUntil)
      return;
    target.mGate->Begin(mNow, request, log, Liveness());
  }

  std::function<bool(instance_identity const&)> Liveness()
  {
    return
      [this](instance_identity const& aIdentity) { return IsAlive(aIdentity); };
  }

  void Step(std::size_t aMember)
  {
    member& self = mMembers[aMember];
    if (mNow < self.mPausedUntil)
      return;
    if (mNow >= mLogOutageUntil && Chance(0.3))
      for (; self.mNext < mLog.size(); ++self.mNext)
        self.mGate->OnEntry(mLog[self.mNext]);
    self.mGate->Tick(mNow, Liveness());
    for (log_record const& record :
         self.mGate->TakeRecords(mNow, log_offset{ self.mNext }))
      Append(record);
    for (once_decision const& decision : self.mGate->TakeDecisions())
      Decide(aMember, decision);
  }

  // Appends a record; it may be lost, land late or land twice.
  void Append(log_record const& aRecord)
  {
    int const copies = Chance(0.1) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      duration const delay =
        Chance(0.1) ? RandomDuration(500, 4000) : RandomDuration(1, 20);
      if (Chance(0.05))
        continue;
      mEvents.emplace(mNow + delay, [this, aRecord]() {
        if (mNow < mLogOutageUntil)
          return;
        mLog.push_back(
          { .mOffset = log_offset{ mLog.size() + 1 }, .mRecord = aRecord });
      });
    }
  }

  void Decide(std::size_t aMember, once_decision const& aDecision)
  {
    request_id const& id = aDecision.mId;
    mReplays += aDecision.mAction == once_action::Replay ? 1 : 0;
    mMayHaveRuns += aDecision.mAction == once_action::RefuseMayHaveRun ? 1 : 0;
    if (aDecision.mAction == once_action::RefuseLogUnreachable)
      mReportedNotRun.insert(id);
    if (aDecision.mAction != once_action::Run)
      return;
    incarnation const current = mMembers[aMember].mIdentity.mIncarnation;
    mEvents.emplace(
      mNow + RandomDuration(0, 5),
      [this, aMember, id, current]() { Dispatch(aMember, id, current); });
  }

  void Dispatch(std::size_t aMember,
                request_id const& aId,
                incarnation aIncarnation)
  {
    member& self = mMembers[aMember];
    if (self.mIdentity.mIncarnation != aIncarnation)
      return;
    if (mNow < self.mPausedUntil) {
      mEvents.emplace(self.mPausedUntil, [this, aMember, aId, aIncarnation]() {
        Dispatch(aMember, aId, aIncarnation);
      });
      return;
    }
    bool const isRefused = Chance(0.2);
    if (!self.mGate->MayDispatch(mNow, aId) || isRefused) {
      End(aMember, aId, aIncarnation, verdict::NotRun);
      return;
    }
    ++mRuns[mKeys.at(aId)];
    mFalseNotRuns += mReportedNotRun.contains(aId) ? 1 : 0;
    verdict const end = Chance(0.2) ? verdict::MayHaveRun : verdict::Ran;
    mEvents.emplace(mNow + RandomDuration(5, 400),
                    [this, aMember, aId, aIncarnation, end]() {
                      End(aMember, aId, aIncarnation, end);
                    });
  }

  void End(std::size_t aMember,
           request_id const& aId,
           incarnation aIncarnation,
           verdict aVerdict)
  {
    member& self = mMembers[aMember];
    if (self.mIdentity.mIncarnation == aIncarnation)
      self.mGate->End(mNow, aId, { .mVerdict = aVerdict });
  }

  std::mt19937_64 mRandom;
  instant mNow{ seconds{ 100 } };
  instant mLogOutageUntil;
  std::array<member, kInstances> mMembers;
  std::vector<log_entry> mLog;
  std::multimap<instant, std::function<void()>> mEvents;
  std::map<request_id, request_key> mKeys;
  std::set<request_id> mReportedNotRun;
  int mRequests = 0;
};

// A request runs twice when two instances both act as the holder of its key,
// after a doubled or late append, a pause between decision and dispatch, a
// restart or an outage of the log. A request that was refused as not run must
// not run later, since its caller may send it again.
TEST(TestOnceGate, RunsEachKeyAtMostOnceAndNeverRunsARequestReportedNotRun)
{
  int runs = 0;
  int replays = 0;
  int mayHaveRuns = 0;
  int doubles = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    once_fleet fleet{ seed };
    fleet.Run(seconds{ 20 });
    for (auto const& [key, count] : fleet.mRuns) {
      EXPECT_LE(count, 1) << "seed " << seed << " " << key.mKey.Text();
      doubles += count > 1 ? 1 : 0;
      runs += count;
    }
    EXPECT_EQ(fleet.mFalseNotRuns, 0) << "seed " << seed;
    replays += fleet.mReplays;
    mayHaveRuns += fleet.mMayHaveRuns;
  }
  EXPECT_GT(runs, static_cast<int>(kSchedules) * kKeys / 2);
  EXPECT_GT(replays, 0);
  std::cout << "runs " << runs << " replays " << replays << " may have run "
            << mayHaveRuns << " doubled " << doubles << '\n';
}

TEST(TestOnceGate, RunsWithoutAClaimWhenTheRequestHasNoKey)
{
  once_gate gate{ { instance_id{ "a" }, incarnation{ 1 } }, {}, {} };
  auto const nobody = [](instance_identity const&) { return false; };
  instant const now{ seconds{ 1 } };
  gate.Begin(
    now,
    { .mId = request_id{ "r" }, .mIdempotency = idempotency::NonIdempotent },
    log_state::Unreachable,
    nobody);
  EXPECT_EQ(gate.TakeDecisions().front().mAction, once_action::Run);
  EXPECT_TRUE(gate.TakeRecords(now + seconds{ 1 }, log_offset{ 1 }).empty());
}

TEST(TestOnceGate, RefusesAsNotRunWhileTheLogIsUnreachable)
{
  once_gate gate{ { instance_id{ "a" }, incarnation{ 1 } }, {}, {} };
  auto const nobody = [](instance_identity const&) { return false; };
  gate.Begin(
    instant{ seconds{ 1 } },
    { .mId = request_id{ "r" },
      .mIdempotency = idempotency::NonIdempotent,
      .mKey = request_key{ workspace_id{ "w" }, idempotency_key{ "k" } } },
    log_state::Unreachable,
    nobody);
  EXPECT_EQ(gate.TakeDecisions().front().mAction,
            once_action::RefuseLogUnreachable);
}

// Guards against a repeat that waits until its deadline for this instance's own
// process before, whose number is higher as its clock was ahead.
TEST(TestOnceGate, ClaimOfAnEarlierProcessOfThisInstanceHasEnded)
{
  request_key const key{ workspace_id{ "w" }, idempotency_key{ "k" } };
  auto const everybody = [](instance_identity const&) { return true; };
  for (std::uint64_t const number : { 4, 6 }) {
    once_gate gate{ { instance_id{ "a" }, incarnation{ number } }, {}, {} };
    request_claim_batch claims{ .mOrigin = { .mInstance = instance_id{ "a" },
                                             .mIncarnation = incarnation{ 5 },
                                             .mLastOffset =
                                               log_offset{ 100 } } };
    claims.mClaims.push_back({ .mKey = key, .mNumber = claim_number{ 1 } });
    gate.OnEntry({ .mOffset = log_offset{ 1 }, .mRecord = claims });
    gate.Begin(instant{ seconds{ 1 } },
               { .mId = request_id{ "r" },
                 .mIdempotency = idempotency::NonIdempotent,
                 .mKey = key,
                 .mDeadline = instant{ seconds{ 9 } } },
               log_state::Reachable,
               everybody);
    std::vector<once_decision> const decisions = gate.TakeDecisions();
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].mAction, once_action::RefuseMayHaveRun);
  }
}

}
}
