#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>
#include <span>

namespace lycheeseam {

enum class software_rule : std::uint8_t
{
  Any,
  TargetOnly,
  OthersOnly,
};

/// Which software may get a request. It refers to data of the gate, which is
/// valid until the gate's next call.
struct allowed_software
{
  software_rule mRule = software_rule::Any;
  /// Null without an order.
  software_version const* mTarget = nullptr;
  /// How many of the target's servers may be used, the first in the order of
  /// FirstServers; 0 means all.
  std::uint32_t mServers = 0;
  /// The only other software that is allowed; null if it isn't known.
  software_version const* mOnlyOther = nullptr;
  /// Software that gets nothing.
  std::span<software_version const> mWithheld;

  /// True when a server with this software may get the request.
  [[nodiscard]] bool Allows(software_version const& aSoftware) const;
};

}
