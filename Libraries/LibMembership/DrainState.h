#pragma once

#include <LibCore/Instant.h>
#include <LibMembership/DrainOptions.h>
#include <LibMembership/DrainPhase.h>

#include <cstddef>
#include <optional>

namespace lycheeseam {

/// The state of a planned stop of this instance, which lets requests finish
/// within a time limit.
class drain_state
{
public:
  explicit drain_state(drain_options aOptions);

  /// Begins the stop; a second call has no effect.
  void Begin(instant aNow);

  /// The current phase, given the number of open requests.
  [[nodiscard]] drain_phase Phase(instant aNow,
                                  std::size_t aOpenRequests) const;

  /// Whether a new request is accepted.
  [[nodiscard]] bool Accepts(instant aNow) const;

private:
  drain_options mOptions;
  std::optional<instant> mBegan;
};

}
