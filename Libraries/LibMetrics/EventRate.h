#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/rolling_mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// A total with its rate over the last kWindowTicks ticks.
class event_rate
{
public:
  static constexpr std::size_t kWindowTicks = 15;

  event_rate();

  /// Adds events.
  void Add(std::uint64_t aEvents);

  /// Ends a tick.
  void Tick();

  /// All events since the start.
  [[nodiscard]] std::uint64_t Total() const noexcept { return mTotal; }

  /// The mean number of events a tick.
  [[nodiscard]] double PerTick() const;

private:
  using rolling = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::rolling_mean>>;

  std::uint64_t mTotal = 0;
  std::uint64_t mAtLastTick = 0;
  bool mHasTicked = false;
  rolling mRolling;
};

}
