#pragma once

#include <LibCore/Instant.h>

#include <concepts>

namespace lycheeseam {

/// Something that tells the time: the machine's clock or a test's.
template<typename Clock>
concept clock_source = requires(Clock const& aClock)
{
  {
    aClock.Now()
    } -> std::same_as<instant>;
};

}
