#pragma once

#include <LibControl/InstanceView.h>

namespace lycheeseam {

/// The view of an instance that is fresh, reaches the log and accepts requests,
/// unless a test sets mAccepts to false.
struct healthy_view
{
  bool mAccepts = true;

  [[nodiscard]] freshness_verdict Freshness(instant) const
  {
    return freshness_verdict::Confirmed;
  }
  [[nodiscard]] log_state Log(instant) const { return log_state::Reachable; }
  [[nodiscard]] bool Accepts(instant) const { return mAccepts; }
  [[nodiscard]] bool IsAlive(instance_identity const&) const { return true; }
};

}
