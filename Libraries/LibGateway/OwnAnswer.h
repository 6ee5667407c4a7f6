#pragma once

#include <LibHttp/AnswerHead.h>

#include <string>

namespace lycheeseam {

/// A whole answer of the instance itself.
struct own_answer
{
  answer_head mHead;
  std::string mBody;
};

}
