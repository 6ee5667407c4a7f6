#pragma once

#include <LibCore/Verdict.h>
#include <LibHttp/AnswerHead.h>

#include <string>

namespace lycheeseam {

/// The answer to a call of an http_client, or why none came.
struct http_exchange_result
{
  /// NotRun when nothing was sent, MayHaveRun when the request was sent and no
  /// complete answer came, else Ran.
  verdict mVerdict = verdict::NotRun;
  /// Its status is 0 when no complete answer came.
  answer_head mHead;
  std::string mBody;
  /// Why no complete answer came; empty otherwise.
  std::string mFault;
};

}
