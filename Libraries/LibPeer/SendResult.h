#pragma once

namespace lycheeseam {

/// What became of a message given to a link. Queued is no promise that it
/// arrives.
enum class send_result
{
  Queued,
  /// No link to that peer is up.
  NotLinked,
  /// The link has more to send than its bound; the message was dropped.
  QueueFull,
  /// The message is larger than a frame may be.
  TooLarge,
};

}
