#pragma once

#include <LibAdmission/AdmissionRequest.h>

#include <cstdint>
#include <deque>

namespace lycheeseam {

/// The waiting requests of one workspace in one priority class, with its state
/// in the deficit round robin.
struct workspace_flow
{
  workspace_id mWorkspace;
  std::deque<admission_request> mWaiting;
  /// Tokens that the flow may still admit in its turn; the rest is kept for its
  /// next turn.
  token_count mDeficit = 0;
  /// True when the flow has received its quantum for the current turn.
  bool mHasTurn = false;
};

}
