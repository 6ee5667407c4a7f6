#pragma once

namespace lycheeseam {

/// What became of a charge. Everything but Admitted is a true "not run".
enum class charge_result
{
  Admitted,
  /// The workspace has no limits' row.
  UnknownWorkspace,
  /// The charge is larger than the workspace's burst.
  AboveBurst,
  /// Too many requests of the workspace wait at this instance.
  QueueFull,
  /// The tokens did not come before the request's deadline.
  DeadlinePassed,
};

}
