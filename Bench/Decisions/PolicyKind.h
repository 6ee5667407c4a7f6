#pragma once

#include <array>
#include <string_view>

namespace lycheeseam::bench {

/// The policies that are compared.
enum class policy_kind
{
  RoundRobin,
  LeastLoaded,
  Rendezvous,
  /// The prefix-cost policy with cache events and the requests that instances
  /// sent.
  Full,
  /// The prefix-cost policy with only the requests that instances sent.
  FullNoEvents,
  /// The prefix-cost policy with the exact contents of the caches.
  Oracle,
};

inline constexpr std::array kPolicyKinds{
  policy_kind::RoundRobin, policy_kind::LeastLoaded,  policy_kind::Rendezvous,
  policy_kind::Full,       policy_kind::FullNoEvents, policy_kind::Oracle,
};

/// The policy's name in tables.
std::string_view
PolicyName(policy_kind aKind);

/// Whether the policy looks up the block shard before it chooses.
constexpr bool
AsksShard(policy_kind aKind)
{
  return aKind == policy_kind::Full || aKind == policy_kind::FullNoEvents;
}

}
