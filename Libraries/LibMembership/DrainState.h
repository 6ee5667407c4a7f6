#pragma once

#include <LibCore/Instant.h>
#include <LibMembership/DrainOptions.h>
#include <LibMembership/DrainPhase.h>

#include <cstddef>
#include <optional>

namespace lycheeseam {

/// A planned stop, which cuts no request within its bound.
class drain_state
{
public:
  explicit drain_state(drain_options aOptions);

  /// A stop was asked for; a second call changes nothing.
  void Begin(instant aNow);

  /// The phase, where aOpenRequests are under way.
  [[nodiscard]] drain_phase Phase(instant aNow,
                                  std::size_t aOpenRequests) const;

  /// Whether a new request is taken.
  [[nodiscard]] bool Accepts(instant aNow) const;

private:
  drain_options mOptions;
  std::optional<instant> mBegan;
};

}
