#pragma once

#include <LibCore/Identifiers.h>

#include <compare>

namespace lycheeseam {

/// One life of one instance: what a message of an older life is told by.
struct instance_life
{
  instance_id mInstance;
  incarnation mIncarnation;

  auto operator<=>(instance_life const&) const = default;
};

}
