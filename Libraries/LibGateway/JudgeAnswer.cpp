#include <LibGateway/JudgeAnswer.h>

namespace lycheeseam {

attempt_outcome
JudgeAnswer(answer_head const& aHead,
            server_answer const& aAnswer,
            bool aIsReplaceable)
{
  if (aAnswer.mIsNotRun || aAnswer.mIsMisdirected)
    return attempt_outcome::NotRun;
  if (aHead.IsSuccess())
    return aAnswer.mHasServerStamp ? attempt_outcome::Accepted
                                   : attempt_outcome::Invalid;
  return aIsReplaceable ? attempt_outcome::Failed : attempt_outcome::Accepted;
}

}
