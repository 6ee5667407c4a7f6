#pragma once

#include <StandIns/EngineModel/Sequence.h>

namespace lycheeseam::standin {

/// The tokens that one call of Advance produced for a sequence: the indexes
/// from mFirst up to, but not including, mEnd.
struct token_step
{
  sequence_id mId;
  token_count mFirst = 0;
  token_count mEnd = 0;
  bool mFinished = false;
};

}
