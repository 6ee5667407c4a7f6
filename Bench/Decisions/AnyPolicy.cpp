#include <Bench/Decisions/AnyPolicy.h>

namespace lycheeseam::bench {

any_policy
MakePolicy(policy_kind aKind, prefix_cost_options const& aOptions)
{
  switch (aKind) {
    case policy_kind::RoundRobin:
      return round_robin_policy{};
    case policy_kind::LeastLoaded:
      return least_loaded_policy{};
    case policy_kind::Rendezvous:
      return rendezvous_policy{};
    case policy_kind::Full:
    case policy_kind::FullNoEvents:
    case policy_kind::Oracle:
      break;
  }
  return prefix_cost_policy{ aOptions };
}

}
