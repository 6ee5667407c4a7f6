#pragma once

namespace lycheeseam {

/// How a tunnel carries the bytes that a backend server sends.
enum class tunnel_framing
{
  /// Unchanged, as instances of older builds send them. The end of the tunnel
  /// doesn't show whether the server or the peer has ended.
  None,
  /// In frames. An empty one says that the server has closed its connection.
  Frames,
};

}
