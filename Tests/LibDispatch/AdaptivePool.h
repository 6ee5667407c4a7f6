#pragma once

#include <LibDispatch/ServerChoiceRequest.h>
#include <LibDispatch/TrackedServer.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace lycheeseam {

/// A pool of engines that report their slowdown, for tests.
class adaptive_pool
{
public:
  static model_name Model() { return model_name{ "m" }; }

  explicit adaptive_pool(std::size_t aCount,
                         std::uint32_t aSlots = 24,
                         token_count aMemory = 111'122)
  {
    for (std::size_t index = 0; index < aCount; ++index) {
      std::unique_ptr<tracked_server> server =
        std::make_unique<tracked_server>();
      server->mRegistered.mId = backend_server_id{ std::to_string(index) };
      server->mRegistered.mSlots = aSlots;
      server->mRegistered.mModels = { { .mModel = Model(), .mVersion = 1 } };
      server->mMemoryTokens = aMemory;
      server->mSeed = (index + 1) * 0x9e3779b97f4a7c15ULL;
      mPointers.push_back(server.get());
      mServers.push_back(std::move(server));
    }
  }

  tracked_server& operator[](std::size_t aIndex) { return *mServers[aIndex]; }
  [[nodiscard]] std::size_t Size() const { return mServers.size(); }
  [[nodiscard]] std::span<tracked_server* const> All() const
  {
    return mPointers;
  }

  /// Divides the servers into domains of equal size: "a", "b" and so on.
  void Divide(std::size_t aDomains)
  {
    for (std::size_t index = 0; index < mServers.size(); ++index)
      mServers[index]->mRegistered.mDomain = failure_domain{ std::string(
        1, static_cast<char>('a' + index * aDomains / mServers.size())) };
  }

  /// The server reports its load.
  static void Report(tracked_server& aServer,
                     instant aNow,
                     std::uint32_t aRunning,
                     std::uint32_t aWaiting = 0,
                     double aSlowdown = 1)
  {
    aServer.mLoad = reported_load{ .mRunning = aRunning,
                                   .mWaiting = aWaiting,
                                   .mSlots = aServer.mRegistered.mSlots,
                                   .mSlowdown = aSlowdown,
                                   .mReportedAt = aNow };
    aServer.mInFlightAtLoad = aServer.mInFlight;
  }

private:
  std::vector<std::unique_ptr<tracked_server>> mServers;
  std::vector<tracked_server*> mPointers;
};

}
