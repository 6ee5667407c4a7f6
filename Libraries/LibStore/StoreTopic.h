#pragma once

namespace lycheeseam {

/// The topics of the platform's store that the fleet uses.
enum class store_topic
{
  /// What operators wrote: the configuration and named weights.
  Operators,
  /// The backend servers' entries.
  Servers,
  /// The instances' own entries.
  Instances,
  /// Who may give orders to engines.
  Leases,
  /// What was admitted lately, for instances that start anew.
  Usage,
};

}
