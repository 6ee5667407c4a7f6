#pragma once

#include <LibCore/Instant.h>

namespace lycheeseam {

/// The quantiles that are reported for a latency series.
struct latency_quantiles
{
  duration mP50{};
  duration mP95{};
  duration mP99{};
};

}
