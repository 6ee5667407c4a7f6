#pragma once

#include <LibAdmission/RetryBudget.h>

#include <Bench/Services/ServiceOptions.h>
#include <Bench/Services/ServiceResult.h>
#include <Bench/Support/Scheduler.h>

#include <deque>
#include <random>
#include <vector>

namespace lycheeseam::bench {

/// Simulates lookups with hedges and retries against a pool of services, in
/// virtual time.
class service_simulation
{
public:
  explicit service_simulation(service_options aOptions);

  /// Runs the simulation to its end; call it only once.
  service_result Run();

private:
  struct lookup
  {
    instant mArrivedAt{};
    bool mIsAnswered = false;
    bool mIsGivenUp = false;
    double mMilliseconds = 0;
    std::uint32_t mAttempts = 0;
    std::size_t mLastServer = 0;
  };

  struct server
  {
    std::deque<std::size_t> mQueue;
    std::size_t mBusy = 0;
    std::size_t mOutstanding = 0;
    bool mIsPaused = false;
  };

  void ScheduleArrivals();
  void SchedulePauses();
  void Start(std::size_t aLookup);
  void Send(std::size_t aLookup);
  void OnHedge(std::size_t aLookup);
  void OnTimeout(std::size_t aLookup, std::uint32_t aAttempt);
  void ServeWaiting(std::size_t aServer);
  void OnServed(std::size_t aServer, std::size_t aLookup);
  [[nodiscard]] std::size_t PickServer(lookup const& aLookup) const;
  [[nodiscard]] service_result Summarize() const;

  service_options mOptions;
  std::mt19937_64 mRandom;
  scheduler mScheduler;
  retry_budget mRetries;
  std::vector<lookup> mLookups;
  std::vector<server> mServers;
};

}
