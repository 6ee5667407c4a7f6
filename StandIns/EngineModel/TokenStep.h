#pragma once

#include <StandIns/EngineModel/Sequence.h>

namespace lycheeseam::standin {

/// Tokens that one sequence got in an advance of the batch.
struct token_step
{
  sequence_id mId;
  token_count mFirst = 0;
  token_count mEnd = 0;
  bool mFinished = false;
};

}
