#pragma once

#include <LibCore/Identifiers.h>

#include <compare>

namespace lycheeseam {

/// An instance id together with the incarnation of its process: tells messages
/// of an earlier incarnation from current ones.
struct instance_identity
{
  instance_id mInstance;
  incarnation mIncarnation;

  auto operator<=>(instance_identity const&) const = default;
};

}
