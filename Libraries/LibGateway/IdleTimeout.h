#pragma once

#include <LibHttp/AnswerHead.h>

#include <chrono>

namespace lycheeseam {

/// How long the connection of an answer may be idle and then be used again, by
/// the timeout that its server announces; 0 or less when it can't be.
std::chrono::milliseconds
IdleTimeout(answer_head const& aHead);

}
