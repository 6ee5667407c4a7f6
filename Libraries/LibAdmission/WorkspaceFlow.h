#pragma once

#include <LibAdmission/AdmissionRequest.h>

#include <cstdint>
#include <deque>

namespace lycheeseam {

/// One workspace's waiting requests in one priority class.
struct workspace_flow
{
  workspace_id mWorkspace;
  std::deque<admission_request> mWaiting;
  /// Tokens that the flow may still send in this round.
  token_count mDeficit = 0;
  /// False until the flow has got its quantum for the current turn.
  bool mHasTurn = false;
};

}
