#pragma once

#include "PoisonServer.h"
#include <LibOnce/FingerprintOwner.h>
#include <LibOnce/PermitClient.h>
#include <LibOnce/PermitIssuer.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace lycheeseam {

/// Instances that send a few fingerprints again and again, one of them
/// poisonous, with routers that restart and messages that are lost.
class poison_fleet
{
public:
  /// Requests with this fingerprint crash every server that runs them.
  static constexpr int kPoison = 0;

  poison_fleet(std::uint64_t aSeed, double aLoss)
    : mRandom(aSeed)
    , mLoss(aLoss)
  {
    for (std::size_t i = 0; i < kInstances; ++i) {
      mMembers[i].mIdentity = { instance_id{ "i" + std::to_string(i) },
                                incarnation{ 1 } };
      mNames.push_back(mMembers[i].mIdentity.mInstance);
    }
    for (std::size_t i = 0; i < kServers; ++i)
      mServerNames.emplace_back("s" + std::to_string(i));
  }

  void Run(duration aSpan, bool aWithRestarts)
  {
    instant const end = mNow + aSpan;
    for (; mNow < end; mNow += milliseconds{ 2 }) {
      while (!mEvents.empty() && mEvents.begin()->first <= mNow)
        mEvents.extract(mEvents.begin()).mapped()();
      for (int burst = Chance(0.05) ? 4 : 0; burst > 0; --burst)
        Send();
      if (aWithRestarts && Chance(0.0005))
        Restart(mRandom() % kInstances);
      for (std::size_t i = 0; i < kInstances; ++i)
        Step(i);
    }
  }

  int mCrashes = 0;
  int mCompleted = 0;
  int mRefusedInnocent = 0;
  int mSharedSuspects = 0;

private:
  using milliseconds = std::chrono::milliseconds;
  using seconds = std::chrono::seconds;

  static constexpr std::size_t kInstances = 5;
  static constexpr std::size_t kServers = 6;

  struct member
  {
    instance_identity mIdentity;
    permit_client mGuard{ {} };
    permit_issuer mHome{ {}, {} };
    poison_table mTable{ {} };
  };

  bool Chance(double aShare)
  {
    return std::bernoulli_distribution{ aShare }(mRandom);
  }

  duration Time(int aLeast, int aMost)
  {
    return milliseconds{ std::uniform_int_distribution<int>{ aLeast,
                                                             aMost }(mRandom) };
  }

  static digest Fingerprint(int aNumber)
  {
    return digest::Of("body" + std::to_string(aNumber));
  }

  server_identity IdentityOf(backend_server_id const& aServer)
  {
    return { aServer, incarnation{ mServers[aServer].mIncarnation } };
  }

  void Later(std::function<void()> aAction)
  {
    mEvents.emplace(mNow + Time(1, 4), std::move(aAction));
  }

  void Restart(std::size_t aMember)
  {
    instance_identity const old = mMembers[aMember].mIdentity;
    poison_table const table = mMembers[(aMember + 1) % kInstances].mTable;
    mMembers[aMember] = { .mIdentity = { old.mInstance,
                                         old.mIncarnation.Next() },
                          .mHome = permit_issuer{ mNow, {} },
                          .mTable = table };
    for (member& other : mMembers) {
      for (permit_request const& ask : other.mGuard.Running()) {
        if (&HomeOf(ask.mFingerprint) == &mMembers[aMember])
          Later([this, aMember, ask]() {
            mMembers[aMember].mHome.OnAnnounced(ask);
          });
      }
    }
    for (member& other : mMembers)
      other.mHome.OnInstanceGone(mNow, old);
  }

  void Send()
  {
    std::size_t const who = mRandom() % kInstances;
    int const number = static_cast<int>(mRandom() % 4);
    digest const fingerprint = Fingerprint(number);
    backend_server_id const fallback =
      FallbackServer(fingerprint, mServerNames);
    backend_server_id const chosen = mServerNames[mRandom() % kServers];
    member& sender = mMembers[who];
    permit_request const ask{ .mFrom = sender.mIdentity,
                              .mRequest =
                                request_id{ "r" + std::to_string(++mRequests) },
                              .mFingerprint = fingerprint,
                              .mServer = IdentityOf(chosen),
                              .mFallback = fallback };
    mFingerprints[ask.mRequest] = fingerprint;
    sender.mGuard.Begin(mNow,
                        { .mAsk = ask,
                          .mFallback = IdentityOf(fallback),
                          .mDeadline = mNow + seconds{ 1 } },
                        sender.mTable);
  }

  member& HomeOf(digest const& aFingerprint)
  {
    backend_server_id const fallback =
      FallbackServer(aFingerprint, mServerNames);
    instance_id const home = FingerprintOwnerFor(fallback, mNames);
    return *std::ranges::find_if(mMembers, [&home](member const& aMember) {
      return aMember.mIdentity.mInstance == home;
    });
  }

  void Step(std::size_t aMember)
  {
    member& self = mMembers[aMember];
    self.mGuard.Tick(mNow, self.mTable);
    for (permit_request const& ask : self.mGuard.TakeAsks())
      Later([this, aMember, ask]() { DeliverAsk(aMember, ask); });
    for (permit_return const& end : self.mGuard.TakeEnds())
      Later([this, end]() {
        member& home = HomeOf(end.mFingerprint);
        if (home.mHome.OnEnd(mNow, end, home.mTable))
          Clear(end.mFingerprint);
      });
    for (crash_report const& report : self.mGuard.TakeReports())
      Broadcast(report);
    for (run_decision const& decision : self.mGuard.TakeDecisions())
      Decide(aMember, decision);
  }

  void DeliverAsk(std::size_t aMember, permit_request const& aAsk)
  {
    member& home = HomeOf(aAsk.mFingerprint);
    if (Chance(mLoss))
      return;
    permit_answer const answer = home.mHome.OnAsk(mNow, aAsk, home.mTable);
    if (Chance(mLoss))
      return;
    Later([this, aMember, answer]() {
      member& asker = mMembers[aMember];
      asker.mGuard.OnAnswer(mNow, answer, asker.mTable);
    });
  }

  void Decide(std::size_t aMember, run_decision const& aDecision)
  {
    request_id const& id = aDecision.mRequest;
    bool const isPoison = mFingerprints.at(id) == Fingerprint(kPoison);
    if (!aDecision.mServer) {
      mRefusedInnocent += isPoison ? 0 : 1;
      return;
    }
    poison_server& target = mServers[aDecision.mServer->mServer];
    if (mNow < target.mUpAt ||
        aDecision.mServer->mIncarnation.Value() != target.mIncarnation) {
      mMembers[aMember].mGuard.End(id, run_result::Unknown);
      return;
    }
    poison_run const run{
      .mMember = aMember,
      .mIdentity = mMembers[aMember].mIdentity,
      .mRequest = id,
      .mFingerprint = mFingerprints.at(id),
      .mIsSuspect =
        !mMembers[aMember].mTable.Crashes(mNow, mFingerprints.at(id)).empty()
    };
    NoteSuspects(target, run);
    target.mRunning[id] = run;
    backend_server_id const name = aDecision.mServer->mServer;
    std::uint64_t const current = target.mIncarnation;
    duration const span = isPoison ? Time(5, 150) : Time(20, 300);
    mEvents.emplace(mNow + span, [this, name, current, id, isPoison]() {
      if (mServers[name].mIncarnation != current)
        return;
      if (isPoison)
        CrashServer(name);
      else
        Complete(name, id);
    });
  }

  void NoteSuspects(poison_server const& aServer, poison_run const& aRun)
  {
    for (auto const& [id, other] : aServer.mRunning) {
      bool const isOther = other.mFingerprint != aRun.mFingerprint;
      bool const areSuspects = other.mIsSuspect && aRun.mIsSuspect;
      mSharedSuspects += areSuspects && isOther ? 1 : 0;
    }
  }

  void Complete(backend_server_id const& aServer, request_id const& aId)
  {
    poison_run const done = mServers[aServer].mRunning.at(aId);
    mServers[aServer].mRunning.erase(aId);
    ++mCompleted;
    if (mMembers[done.mMember].mIdentity == done.mIdentity)
      mMembers[done.mMember].mGuard.End(aId, run_result::Completed);
  }

  void CrashServer(backend_server_id const& aServer)
  {
    ++mCrashes;
    poison_server& crashed = mServers[aServer];
    server_identity const identity = IdentityOf(aServer);
    std::map<request_id, poison_run> const lost =
      std::exchange(crashed.mRunning, {});
    ++crashed.mIncarnation;
    crashed.mUpAt = mNow + Time(200, 600);
    // Each instance comes to see the server's new life.
    Broadcast({ .mServer = identity });
    for (auto const& entry : lost)
      Later([this, run = entry.second]() {
        if (mMembers[run.mMember].mIdentity == run.mIdentity)
          mMembers[run.mMember].mGuard.End(run.mRequest, run_result::Crashed);
      });
  }

  void Clear(digest const& aFingerprint)
  {
    for (std::size_t i = 0; i < kInstances; ++i)
      Later(
        [this, i, aFingerprint]() { mMembers[i].mTable.Clear(aFingerprint); });
  }

  void Broadcast(crash_report const& aReport)
  {
    for (std::size_t i = 0; i < kInstances; ++i)
      Later([this, i, aReport]() {
        member& self = mMembers[i];
        std::optional<crash_report> const untold =
          self.mHome.OnCrash(mNow, aReport, self.mTable);
        if (untold)
          Broadcast(*untold);
      });
  }

  std::mt19937_64 mRandom;
  double mLoss;
  instant mNow{ seconds{ 100 } };
  std::array<member, kInstances> mMembers;
  std::vector<instance_id> mNames;
  std::vector<backend_server_id> mServerNames;
  std::map<backend_server_id, poison_server> mServers;
  std::map<request_id, digest> mFingerprints;
  std::multimap<instant, std::function<void()>> mEvents;
  int mRequests = 0;
};

}
