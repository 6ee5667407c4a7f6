#pragma once

#include <LibControl/InstanceView.h>

namespace lycheeseam {

/// An instance for which all is well, unless a test says otherwise.
struct steady_view
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
