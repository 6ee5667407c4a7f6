#pragma once

#include <LibHttp/AnswerHead.h>

#include <string>

namespace lycheeseam {

/// A complete answer that the instance itself gives, not a backend server.
struct local_answer
{
  answer_head mHead;
  std::string mBody;
};

}
