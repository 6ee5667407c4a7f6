#pragma once

namespace lycheeseam {

/// What the check of a link asks for.
enum class link_check
{
  /// Nothing is to be done.
  Quiet,
  /// A heartbeat is to be sent.
  Beat,
  /// A heartbeat that the peer answers at once is to be sent.
  Ping,
  /// The peer counts as dead; the link is to be closed.
  Dead,
};

}
