#pragma once

namespace lycheeseam {

/// The topics of the platform's store that the instances use.
enum class store_topic
{
  /// Operators' input: the configuration and the target weights.
  Operators,
  /// Registrations of the backend servers.
  Servers,
  /// Registrations of the instances.
  Instances,
  /// Leases: which instance may give orders to engines.
  Leases,
  /// Recent usage of the workspaces' quotas, for instances that start.
  Usage,
  /// The software that servers have run lately, for instances that start.
  Software,
  /// The states of rollouts, for the instance that succeeds their leader.
  Rollouts,
  /// The progress of rollouts, for operators.
  Status,
};

}
