#pragma once

#include <LibLimits/FleetBudget.h>
#include <LibMetrics/MetricsRecorder.h>
#include <LibOnce/OnceGate.h>
#include <LibOnce/PoisonTable.h>

namespace lycheeseam {

/// The machines that a director asks on its calls' way; they outlive it.
struct director_parts
{
  fleet_budget& mBudget;
  once_gate& mGate;
  poison_table& mPoison;
  metrics_recorder& mMetrics;
};

}
