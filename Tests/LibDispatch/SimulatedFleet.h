#pragma once

#include "AdaptivePool.h"
#include "SimulatedServer.h"
#include <LibDispatch/ServerChoiceRequest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace lycheeseam {

/// Options of a simulated fleet.
struct simulated_load
{
  std::size_t mInstances = 80;
  std::size_t mServers = 90;
  std::uint32_t mSlots = 24;
  token_count mMemory = 111'122;
  double mLargePerSecond = 312;
  std::uint32_t mLargePriority = 0;
  double mSmallPerSecond = 335;
  std::uint32_t mSmallPriority = 2;
  std::uint64_t mPrompts = 400;
  bool mIsUneven = false;
};

/// Instances that choose servers from views that are 0.3 s old.
class simulated_fleet
{
public:
  explicit simulated_fleet(simulated_load const& aLoad)
    : mLoad(aLoad)
  {
    for (std::size_t index = 0; index < aLoad.mServers; ++index) {
      mServers.emplace_back(aLoad.mSlots, aLoad.mMemory);
      if (aLoad.mIsUneven)
        mServers.back().mSpeed = 0.7 + Uniform();
    }
    for (std::size_t index = 0; index < aLoad.mInstances; ++index)
      mViews.push_back(std::make_unique<adaptive_pool>(
        aLoad.mServers, aLoad.mSlots, aLoad.mMemory));
  }

  /// Runs for aSeconds. aChoose returns a server of the span for a request.
  template<typename Choose>
  void Run(double aSeconds, Choose aChoose)
  {
    constexpr double kStep = 0.005;
    constexpr int kReportSteps = 20;
    int const steps = static_cast<int>(aSeconds / kStep);
    for (int step = 0; step < steps; ++step) {
      double const now = step * kStep;
      if (step % kReportSteps == 0) {
        SlowDown();
        Report(now);
      }
      Arrive(now, kStep * mLoad.mLargePerSecond, true, aChoose);
      Arrive(now, kStep * mLoad.mSmallPerSecond, false, aChoose);
      for (simulated_server& server : mServers) {
        for (simulated_request const& request : server.Step(now, kStep))
          End(request);
      }
    }
  }

  /// The tokens that the busiest server read, relative to the mean.
  [[nodiscard]] double BusiestOverMean() const
  {
    return BusiestOf(&simulated_server::ReadTokens);
  }
  [[nodiscard]] double MeanWait() const { return mWaits / mEnded; }
  /// Shared tokens that were in no server's cache.
  [[nodiscard]] double ReadAgain() const
  {
    return SumOf(&simulated_server::ReadAgain);
  }
  /// Shared tokens that were fetched from another server.
  [[nodiscard]] double Fetched() const
  {
    return SumOf(&simulated_server::Fetched);
  }

private:
  template<typename Measure>
  [[nodiscard]] double SumOf(Measure aMeasure) const
  {
    double sum = 0;
    for (simulated_server const& server : mServers)
      sum += std::invoke(aMeasure, server);
    return sum;
  }

  template<typename Measure>
  [[nodiscard]] double BusiestOf(Measure aMeasure) const
  {
    double busiest = 0;
    for (simulated_server const& server : mServers)
      busiest = std::max(busiest, std::invoke(aMeasure, server));
    return busiest * static_cast<double>(mServers.size()) / SumOf(aMeasure);
  }

  struct snapshot
  {
    std::vector<std::uint32_t> mRunning;
    std::vector<std::uint32_t> mWaiting;
    std::vector<double> mSlowdown;
    /// By instance and server.
    std::vector<std::uint32_t> mInFlight;
  };

  static constexpr std::size_t kReportAge = 3;

  double Uniform()
  {
    return std::uniform_real_distribution<double>{ 0, 1 }(mRandom);
  }

  // Others use a server's machine for half a second in ten.
  void SlowDown()
  {
    if (!mLoad.mIsUneven)
      return;
    for (simulated_server& server : mServers)
      server.mSlowdown =
        Uniform() < (server.mSlowdown > 1 ? 0.8 : 0.02) ? 2.5 : 1;
  }

  void Report(double aNow)
  {
    snapshot taken;
    for (simulated_server const& server : mServers) {
      taken.mRunning.push_back(static_cast<std::uint32_t>(server.Running()));
      taken.mWaiting.push_back(static_cast<std::uint32_t>(server.Waiting()));
      // An estimate divides the learned speed by the slowdown; here the
      // slowdown stands for both.
      taken.mSlowdown.push_back(server.mSlowdown / server.mSpeed);
    }
    for (std::unique_ptr<adaptive_pool> const& view : mViews) {
      for (tracked_server const* const server : view->All())
        taken.mInFlight.push_back(server->mInFlight);
    }
    mSnapshots.push_back(std::move(taken));
    if (mSnapshots.size() <= kReportAge)
      return;
    mSnapshots.pop_front();
    Apply(mSnapshots.front(), aNow);
  }

  void Apply(snapshot const& aSnapshot, double aNow)
  {
    for (std::size_t instance = 0; instance < mViews.size(); ++instance) {
      for (std::size_t index = 0; index < mServers.size(); ++index) {
        tracked_server& server = (*mViews[instance])[index];
        adaptive_pool::Report(server,
                              At(aNow) - std::chrono::milliseconds{ 300 },
                              aSnapshot.mRunning[index],
                              aSnapshot.mWaiting[index],
                              aSnapshot.mSlowdown[index]);
        server.mInFlightAtLoad =
          aSnapshot.mInFlight[instance * mServers.size() + index];
      }
    }
  }

  static instant At(double aNow)
  {
    return instant{ std::chrono::seconds{ 100 } } +
           std::chrono::duration_cast<duration>(
             std::chrono::duration<double>{ aNow });
  }

  template<typename Choose>
  void Arrive(double aNow, double aMean, bool aIsLarge, Choose aChoose)
  {
    int const count = std::poisson_distribution<int>{ aMean }(mRandom);
    for (int index = 0; index < count; ++index)
      Send(aIsLarge ? Large(aNow) : Small(aNow), aNow, aChoose);
  }

  simulated_request Large(double aNow)
  {
    return { .mPriority = mLoad.mLargePriority,
             .mPromptKey =
               (1 + mRandom() % mLoad.mPrompts) * 0x9e3779b97f4a7c15ULL,
             .mSharedTokens = 6'300,
             .mTokens = 9'197,
             .mToRead = 2'890,
             .mToWrite = 0.07,
             .mSentAt = aNow };
  }

  simulated_request Small(double aNow) const
  {
    return { .mPriority = mLoad.mSmallPriority,
             .mTokens = 862,
             .mToRead = 826,
             .mToWrite = 0.36,
             .mSentAt = aNow };
  }

  template<typename Choose>
  void Send(simulated_request aRequest, double aNow, Choose aChoose)
  {
    server_choice_request choice{
      .mNow = At(aNow),
      .mTokens = aRequest.mTokens,
      .mPromptTokens =
        static_cast<token_count>(aRequest.mToRead + aRequest.mSharedTokens),
      .mSharedTokens = static_cast<token_count>(aRequest.mSharedTokens),
      .mPriority = aRequest.mPriority,
      .mSample = Uniform(),
      .mModel = adaptive_pool::Model()
    };
    if (aRequest.mPromptKey != 0)
      choice.mPromptKey = aRequest.mPromptKey;
    aRequest.mInstance = mRandom() % mViews.size();
    adaptive_pool& view = *mViews[aRequest.mInstance];
    tracked_server* const chosen =
      aChoose(aRequest.mInstance, view.All(), choice);
    chosen->OnStart(choice.mNow, aRequest.mTokens);
    aRequest.mServer = std::stoul(chosen->mRegistered.mId.Text());
    aRequest.mIsFetchable = std::any_of(
      mServers.begin(), mServers.end(), [&](simulated_server const& aServer) {
        return aServer.Has(aRequest.mPromptKey);
      });
    mServers[aRequest.mServer].Add(aRequest);
  }

  void End(simulated_request const& aRequest)
  {
    (*mViews[aRequest.mInstance])[aRequest.mServer].OnEnd(aRequest.mTokens);
    mWaits += aRequest.mFirstAt - aRequest.mSentAt;
    mEnded += 1;
  }

  simulated_load mLoad;
  // The seed is fixed, so that all choices meet the same requests.
  // NOLINTNEXTLINE(bugprone-random-generator-seed)
  std::mt19937_64 mRandom{ 7 };
  std::vector<simulated_server> mServers;
  std::vector<std::unique_ptr<adaptive_pool>> mViews;
  std::deque<snapshot> mSnapshots;
  double mWaits = 0;
  double mEnded = 0;
};

}
