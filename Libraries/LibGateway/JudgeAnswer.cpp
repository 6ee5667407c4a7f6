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

answer_use
UseOfAnswer(attempt_outcome aOutcome)
{
  switch (aOutcome) {
    case attempt_outcome::Accepted:
      return answer_use::Accept;
    case attempt_outcome::NotRun:
    case attempt_outcome::Failed:
      return answer_use::Discard;
    case attempt_outcome::Invalid:
    case attempt_outcome::Pending:
      break;
  }
  return answer_use::Reject;
}

}
