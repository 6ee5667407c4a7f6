#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibPeer/LinkCloseReason.h>
#include <LibPeer/LinkNumber.h>

#include <optional>

namespace lycheeseam {

/// What a link's hello leads to.
struct hello_decision
{
  /// Set when the link is refused; nothing else holds then.
  std::optional<link_close_reason> mRefused;
  /// Another link that gives way to this one.
  std::optional<link_number> mReplaced;
  /// The life that ended, when the link is from a newer one.
  std::optional<instance_identity> mEnded;
  /// The peer's life had no link before.
  bool mIsNew = false;
};

}
