#pragma once

namespace lycheeseam {

/// The action that the check of a link calls for.
enum class link_check
{
  /// No action.
  None,
  /// Send a heartbeat.
  Heartbeat,
  /// Send a heartbeat that the peer must answer at once.
  Ping,
  /// The peer counts as dead: close the link.
  Dead,
};

}
