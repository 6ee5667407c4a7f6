#pragma once

#include <LibPlacement/LeastLoadedPolicy.h>
#include <LibPlacement/PrefixCostPolicy.h>
#include <LibPlacement/RendezvousPolicy.h>
#include <LibPlacement/RoundRobinPolicy.h>

#include <Bench/Decisions/PolicyKind.h>

#include <variant>

namespace lycheeseam::bench {

/// One of the policies that are compared, chosen at run time.
using any_policy = std::variant<round_robin_policy,
                                least_loaded_policy,
                                rendezvous_policy,
                                prefix_cost_policy>;

/// Makes a policy of a kind; the options apply to prefix_cost_policy.
any_policy
MakePolicy(policy_kind aKind, prefix_cost_options const& aOptions);

}
