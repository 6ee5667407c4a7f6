#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/rolling_mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// Counts events and computes their mean rate over the last kWindowTicks
/// ticks.
class event_rate
{
public:
  /// The window of the mean rate, in ticks.
  static constexpr std::size_t kWindowTicks = 15;

  event_rate();

  /// Adds events.
  void Add(std::uint64_t aEvents);

  /// Ends a tick; the caller sets the length of a tick by how often it calls.
  void Tick();

  /// The number of events since the start.
  [[nodiscard]] std::uint64_t Total() const noexcept { return mTotal; }

  /// The mean number of events per tick; 0 before the first tick.
  [[nodiscard]] double PerTick() const;

private:
  using rolling = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::rolling_mean>>;

  std::uint64_t mTotal = 0;
  std::uint64_t mTotalAtLastTick = 0;
  bool mHasTicked = false;
  rolling mRolling;
};

}
