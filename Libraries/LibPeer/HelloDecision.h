#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibPeer/LinkCloseReason.h>
#include <LibPeer/LinkNumber.h>

#include <optional>

namespace lycheeseam {

/// What a link table decides when a hello arrives on a link.
struct hello_decision
{
  /// Set when the link is refused; the other members are not set then.
  std::optional<link_close_reason> mRefused;
  /// The peer's earlier link, which is to be closed.
  std::optional<link_number> mReplaced;
  /// The peer's earlier incarnation, when this link is from a later one.
  std::optional<instance_identity> mEnded;
  /// The peer's incarnation had no link until now.
  bool mIsNew = false;
};

}
