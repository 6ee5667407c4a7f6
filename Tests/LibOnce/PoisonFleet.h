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

/// Simulates instances that repeatedly send a few fingerprints, one of which
/// crashes every server that runs it. Instances may restart and permit messages
/// may be lost.
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
  int mRefusedHarmless = 0;
  int mSharedSuspects = 0;

private:
  using milliseconds = std::chrono::milliseconds;
  using seconds = std::chrono::seconds;

  static constexpr std::size_t kInstances = 5;
  static constexpr std::size_t kServers = 6;

  struct member
  {
    instance_identity mIdentity;
    permit_client mPermitClient{ {} };
    permit_issuer mIssuer{ {}, {} };
    poison_table mTable{ {} };
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

  static digest Fingerprint(int aNumber)
  {
    return digest::Of("body" + std::to_string(aNumber));
  }

  server_identity IdentityOf(backend_server_id const& aServer)
  {
    return { aServer, incarnation{ mServers[aServer].mIncarnation } };
  }

  void Schedule(std::function<void()> aAction)
  {
    mEvents.emplace(mNow + RandomDuration(1, 4), std::move(aAction));
  }

  void Restart(std::size_t aMember)
  {
    instance_identity const old = mMembers[aMember].mIdentity;
    poison_table const table = mMembers[(aMember + 1) % kInstances].mTable;
    mMembers[aMember] = { .mIdentity = { old.mInstance,
                                         old.mIncarnation.Next() },
                          .mIssuer = permit_issuer{ mNow, {} },
                          .mTable = table };
    for (member& other : mMembers) {
      for (permit_request const& permitRequest :
           other.mPermitClient.Running()) {
        if (&OwnerOf(permitRequest.mFingerprint) == &mMembers[aMember])
          Schedule([this, aMember, permitRequest]() {
            mMembers[aMember].mIssuer.OnAnnounced(permitRequest);
          });
      }
    }
    for (member& other : mMembers)
      other.mIssuer.OnInstanceEnded(mNow, old);
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
    permit_request const permitRequest{
      .mFrom = sender.mIdentity,
      .mRequest = request_id{ "r" + std::to_string(++mRequests) },
      .mFingerprint = fingerprint,
      .mServer = IdentityOf(chosen),
      .mFallback = fallback
    };
    mFingerprints[permitRequest.mRequest] = fingerprint;
    sender.mPermitClient.Begin(mNow,
                               { .mPermitRequest = permitRequest,
                                 .mFallback = IdentityOf(fallback),
                                 .mDeadline = mNow + seconds{ 1 } },
                               sender.mTable);
  }

  member& OwnerOf(digest const& aFingerprint)
  {
    backend_server_id const fallback =
      FallbackServer(aFingerprint, mServerNames);
    instance_id const owner = FingerprintOwnerFor(fallback, mNames);
    return *std::ranges::find_if(mMembers, [&owner](member const& aMember) {
      return aMember.mIdentity.mInstance == owner;
    });
  }

  void Step(std::size_t aMember)
  {
    member& self = mMembers[aMember];
    self.mPermitClient.Tick(mNow, self.mTable);
    for (permit_request const& permitRequest :
         self.mPermitClient.TakePermitRequests())
      Schedule([this, aMember, permitRequest]() {
        DeliverRequest(aMember, permitRequest);
      });
    for (permit_return const& permitReturn :
         self.mPermitClient.TakePermitReturns())
      Schedule([this, permitReturn]() {
        member& owner = OwnerOf(permitReturn.mFingerprint);
        if (owner.mIssuer.OnReturn(mNow, permitReturn, owner.mTable))
          Clear(permitReturn.mFingerprint);
      });
    for (crash_report const& report : self.mPermitClient.TakeCrashReports())
      Broadcast(report);
    for (run_decision const& decision : self.mPermitClient.TakeDecisions())
      Decide(aMember, decision);
  }

  void DeliverRequest(std::size_t aMember, permit_request const& aPermitRequest)
  {
    member& owner = OwnerOf(aPermitRequest.mFingerprint);
    if (Chance(mLoss))
      return;
    permit_answer const answer =
      owner.mIssuer.OnRequest(mNow, aPermitRequest, owner.mTable);
    if (Chance(mLoss))
      return;
    Schedule([this, aMember, answer]() {
      member& requester = mMembers[aMember];
      requester.mPermitClient.OnAnswer(mNow, answer, requester.mTable);
    });
  }

  void Decide(std::size_t aMember, run_decision const& aDecision)
  {
    request_id const& id = aDecision.mRequest;
    bool const isPoison = mFingerprints.at(id) == Fingerprint(kPoison);
    if (!aDecision.mServer) {
      mRefusedHarmless += isPoison ? 0 : 1;
      return;
    }
    poison_server& target = mServers[aDecision.mServer->mServer];
    if (mNow < target.mUpAt ||
        aDecision.mServer->mIncarnation.Value() != target.mIncarnation) {
      mMembers[aMember].mPermitClient.End(id, run_result::Unknown);
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
    CountSharedSuspects(target, run);
    target.mRunning[id] = run;
    backend_server_id const name = aDecision.mServer->mServer;
    std::uint64_t const current = target.mIncarnation;
    duration const span =
      isPoison ? RandomDuration(5, 150) : RandomDuration(20, 300);
    mEvents.emplace(mNow + span, [this, name, current, id, isPoison]() {
      if (mServers[name].mIncarnation != current)
        return;
      if (isPoison)
        CrashServer(name);
      else
        Complete(name, id);
    });
  }

  void CountSharedSuspects(poison_server const& aServer, poison_run const& aRun)
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
      mMembers[done.mMember].mPermitClient.End(aId, run_result::Completed);
  }

  void CrashServer(backend_server_id const& aServer)
  {
    ++mCrashes;
    poison_server& crashed = mServers[aServer];
    server_identity const identity = IdentityOf(aServer);
    std::map<request_id, poison_run> const lost =
      std::exchange(crashed.mRunning, {});
    ++crashed.mIncarnation;
    crashed.mUpAt = mNow + RandomDuration(200, 600);
    // Every instance observes the new incarnation of the server.
    Broadcast({ .mServer = identity });
    for (auto const& entry : lost)
      Schedule([this, run = entry.second]() {
        if (mMembers[run.mMember].mIdentity == run.mIdentity)
          mMembers[run.mMember].mPermitClient.End(run.mRequest,
                                                  run_result::Crashed);
      });
  }

  void Clear(digest const& aFingerprint)
  {
    for (std::size_t i = 0; i < kInstances; ++i)
      Schedule(
        [this, i, aFingerprint]() { mMembers[i].mTable.Clear(aFingerprint); });
  }

  void Broadcast(crash_report const& aReport)
  {
    for (std::size_t i = 0; i < kInstances; ++i)
      Schedule([this, i, aReport]() {
        member& self = mMembers[i];
        std::optional<crash_report> const unreported =
          self.mIssuer.OnCrash(mNow, aReport, self.mTable);
        if (unreported)
          Broadcast(*unreported);
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
