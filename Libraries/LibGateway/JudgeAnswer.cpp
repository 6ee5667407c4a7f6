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
    return aAnswer.mIsSigned ? attempt_outcome::Taken
                             : attempt_outcome::Spoiled;
  return aIsReplaceable ? attempt_outcome::Failed : attempt_outcome::Taken;
}

}
