#pragma once

#include <LibCore/InstanceLife.h>
#include <LibCore/Instant.h>

namespace lycheeseam {

/// Asks a peer for its word on budget slots, and is a sign of life itself.
struct standing_probe
{
  instance_life mFrom;
  /// By the prober's clock; the word repeats it.
  instant mSentAt;

  bool operator==(standing_probe const&) const = default;
};

}
