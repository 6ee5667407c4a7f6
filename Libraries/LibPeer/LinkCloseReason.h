#pragma once

#include <cstddef>

namespace lycheeseam {

/// Why a link ended.
enum class link_close_reason
{
  /// The peer closed it, or the network broke it.
  Disconnected,
  ConnectFailed,
  /// No hello in time.
  HelloTimeout,
  EmptyFrame,
  OversizedFrame,
  MalformedFrame,
  /// A hello where none belongs, or another message before it.
  UnexpectedMessage,
  WrongVersion,
  /// The peer is this process itself.
  Self,
  /// The hello is from an older life than one that was seen.
  OlderIncarnation,
  /// Another link to the same life stays.
  Duplicate,
  /// A newer life of the peer has a link.
  Superseded,
  /// The peer gave no sign of life.
  Silent,
  /// This process is stopping.
  Stopped,
  /// This process has no more use for the link.
  Released,
};

/// The number of reasons.
inline constexpr std::size_t kLinkCloseReasons = 15;

}
