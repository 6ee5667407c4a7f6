#pragma once

#include <LibCore/Instant.h>
#include <LibRollout/RolloutSample.h>
#include <LibRollout/RolloutVerdict.h>
#include <LibRollout/RouteEvidence.h>

#include <cstdint>
#include <map>

namespace lycheeseam {

/// Compares the target of one order with the other software, by route. All
/// instances keep one from the same samples, so that any can lead.
class rollout_judge
{
public:
  explicit rollout_judge(std::uint64_t aOrder)
    : mOrder(aOrder)
  {
  }

  /// Adds a sample at the time of its arrival; those of other orders are
  /// ignored.
  void Add(instant aNow, rollout_sample const& aSample);

  /// Whether the target is bad. The route is empty if it is so on all routes
  /// together and on none of them surely.
  [[nodiscard]] rollout_verdict Verdict(instant aNow) const;

  /// The target's answers that failed or were several times slower.
  [[nodiscard]] std::uint64_t BadAnswers() const;

  /// All answers of the target.
  [[nodiscard]] std::uint64_t TargetAnswers() const;

private:
  [[nodiscard]] rollout_verdict Test(std::int64_t aFirst) const;
  [[nodiscard]] bool IsEnough() const;

  std::uint64_t mOrder;
  std::map<route_name, route_evidence> mRoutes;
};

}
