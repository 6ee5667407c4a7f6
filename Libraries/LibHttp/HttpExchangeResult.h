#pragma once

#include <LibCore/Verdict.h>
#include <LibHttp/AnswerHead.h>

#include <string>

namespace lycheeseam {

/// How a call of an http_client ended.
struct http_exchange_result
{
  /// NotRun when no byte left; MayHaveRun when no answer came; else Ran.
  verdict mVerdict = verdict::NotRun;
  /// Status 0 when no answer came.
  answer_head mHead;
  std::string mBody;
  /// Why no answer came; empty otherwise.
  std::string mFault;
};

}
