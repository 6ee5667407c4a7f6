#pragma once

#include "SimulatedRequest.h"
#include <LibCore/Identifiers.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <vector>

namespace lycheeseam {

/// An engine in a simulation: it runs requests in slots, by priority, reads
/// prompts one after another, and keeps the shared parts of the latest ones.
class simulated_server
{
public:
  simulated_server(std::uint32_t aSlots, token_count aMemory)
    : mSlots(aSlots)
    , mMemory(aMemory)
  {
  }

  double mSpeed = 1;
  double mSlowdown = 1;

  void Add(simulated_request aRequest)
  {
    mWaiting.push_back(aRequest);
    std::stable_sort(mWaiting.begin(),
                     mWaiting.end(),
                     [](auto const& aLeft, auto const& aRight) {
                       return aLeft.mPriority < aRight.mPriority;
                     });
  }

  /// Lets aSeconds pass and returns the requests that ended.
  std::vector<simulated_request> Step(double aNow, double aSeconds)
  {
    double const work = aSeconds * mSpeed / mSlowdown;
    double reading = work * kReadTokensPerSecond;
    for (simulated_request& request : mRunning) {
      double const read = std::min(reading, request.mToRead);
      if (request.mToRead > 0 && read >= request.mToRead)
        request.mFirstAt = aNow;
      request.mToRead -= read;
      reading -= read;
      mReadTokens += read;
      if (request.mToRead <= 0)
        request.mToWrite -= work;
    }
    auto const ended = std::stable_partition(
      mRunning.begin(), mRunning.end(), [](auto const& aRequest) {
        return aRequest.mToWrite > 0;
      });
    std::vector<simulated_request> done(ended, mRunning.end());
    mRunning.erase(ended, mRunning.end());
    Fill();
    return done;
  }

  [[nodiscard]] std::size_t Running() const { return mRunning.size(); }
  [[nodiscard]] std::size_t Waiting() const { return mWaiting.size(); }
  /// Tokens that were read or fetched.
  [[nodiscard]] double ReadTokens() const { return mReadTokens; }
  /// Shared tokens that weren't cached here nor elsewhere.
  [[nodiscard]] double ReadAgain() const { return mReadAgain; }
  /// Shared tokens that were fetched from another server.
  [[nodiscard]] double Fetched() const { return mFetched; }
  [[nodiscard]] bool Has(std::uint64_t aKey) const
  {
    return std::find(mCached.begin(), mCached.end(), aKey) != mCached.end();
  }

private:
  static constexpr double kReadTokensPerSecond = 20'000;
  static constexpr double kFetchPart = 0.1;
  static constexpr std::size_t kCachedPrompts = 10;

  void Fill()
  {
    while (!mWaiting.empty() && mRunning.size() < mSlots &&
           Tokens() + mWaiting.front().mTokens <= mMemory) {
      Start(mWaiting.front());
      mWaiting.pop_front();
    }
  }

  void Start(simulated_request aRequest)
  {
    if (aRequest.mPromptKey != 0 && !Touch(aRequest.mPromptKey)) {
      double const part = aRequest.mIsFetchable ? kFetchPart : 1;
      aRequest.mToRead += part * aRequest.mSharedTokens;
      (aRequest.mIsFetchable ? mFetched : mReadAgain) += aRequest.mSharedTokens;
    }
    mRunning.push_back(aRequest);
  }

  // True when the shared part was cached.
  bool Touch(std::uint64_t aKey)
  {
    bool const isCached = std::erase(mCached, aKey) > 0;
    mCached.push_back(aKey);
    if (mCached.size() > kCachedPrompts)
      mCached.pop_front();
    return isCached;
  }

  [[nodiscard]] token_count Tokens() const
  {
    token_count tokens = 0;
    for (simulated_request const& request : mRunning)
      tokens += request.mTokens;
    return tokens;
  }

  std::uint32_t mSlots;
  token_count mMemory;
  std::vector<simulated_request> mRunning;
  std::deque<simulated_request> mWaiting;
  std::deque<std::uint64_t> mCached;
  double mReadAgain = 0;
  double mFetched = 0;
  double mReadTokens = 0;
};

}
