#pragma once

namespace lycheeseam {

/// The outcome of a charge. After any result but Admitted, the request has not
/// run.
enum class charge_result
{
  Admitted,
  /// No row sets limits for the workspace.
  UnknownWorkspace,
  /// The charge is larger than the workspace's burst.
  AboveBurst,
  /// Too many requests of the workspace wait at this instance.
  QueueFull,
  /// The tokens did not arrive before the request's deadline.
  DeadlinePassed,
};

}
