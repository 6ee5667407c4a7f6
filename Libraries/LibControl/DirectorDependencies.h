#pragma once

#include <LibLimits/FleetBudget.h>
#include <LibMetrics/MetricsRecorder.h>
#include <LibOnce/OnceGate.h>
#include <LibOnce/PoisonTable.h>

namespace lycheeseam {

/// The components that a request_director uses; they must outlive it.
struct director_dependencies
{
  fleet_budget& mBudget;
  once_gate& mGate;
  poison_table& mPoison;
  metrics_recorder& mMetrics;
};

}
