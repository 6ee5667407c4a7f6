#pragma once

namespace lycheeseam {

/// Whether a link accepted a message to send. A queued message may still be
/// lost.
enum class send_result
{
  Queued,
  /// No link to that peer is up.
  NotLinked,
  /// The link's queue has no room for the message, which was dropped.
  QueueFull,
  /// The message is larger than a frame may be, and was dropped.
  TooLarge,
};

}
