#pragma once

#include <LibOnce/OnceAction.h>
#include <LibRecords/RequestOutcome.h>

#include <optional>

namespace lycheeseam {

/// The decision of once_gate on a request.
struct once_decision
{
  request_id mId;
  once_action mAction = once_action::Run;
  /// Set when the action is Replay.
  std::optional<request_outcome> mOutcome;

  bool operator==(once_decision const&) const = default;
};

}
