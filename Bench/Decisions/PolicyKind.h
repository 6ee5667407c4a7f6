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
  /// The full policy on events and the instances' own sends.
  Full,
  /// The full policy on the instances' own sends alone.
  FullNoEvents,
  /// The full policy on what the caches really hold.
  Oracle,
};

inline constexpr std::array kPolicyKinds{
  policy_kind::RoundRobin, policy_kind::LeastLoaded,  policy_kind::Rendezvous,
  policy_kind::Full,       policy_kind::FullNoEvents, policy_kind::Oracle,
};

/// The name in tables.
std::string_view
PolicyName(policy_kind aKind);

/// True for policies that ask a shard first.
constexpr bool
AsksShard(policy_kind aKind)
{
  return aKind == policy_kind::Full || aKind == policy_kind::FullNoEvents;
}

}
