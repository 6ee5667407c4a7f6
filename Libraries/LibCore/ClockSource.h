#pragma once

#include <LibCore/Instant.h>

#include <concepts>

namespace lycheeseam {

/// A source of the current time: the machine's clock, or a test's virtual
/// clock.
template<typename Clock>
concept clock_source = requires(Clock const& aClock)
{
  {
    aClock.Now()
    } -> std::same_as<instant>;
};

}
