#pragma once

#include <cstddef>

namespace lycheeseam {

/// Why a link closed.
enum class link_close_reason
{
  /// The peer closed the connection, or the network failed.
  Disconnected,
  ConnectFailed,
  /// No hello arrived within the time limit.
  HelloTimeout,
  EmptyFrame,
  OversizedFrame,
  MalformedFrame,
  /// A second hello, or another message before the hello.
  UnexpectedMessage,
  WrongVersion,
  /// The peer is this process itself.
  Self,
  /// The hello is from an incarnation that another one has replaced.
  OlderIncarnation,
  /// Another link to the same incarnation is kept.
  Duplicate,
  /// A later incarnation of the peer has a link.
  Superseded,
  /// Nothing that the link's supervisor counts arrived within its time limit.
  Unresponsive,
  /// This process is stopping.
  Stopped,
  /// This process no longer needs the link.
  Released,
};

/// The number of reasons.
inline constexpr std::size_t kLinkCloseReasons = 15;

}
