#pragma once

#include <LibCore/Identifiers.h>

#include <string>

namespace lycheeseam {

/// One part of a prompt. Requests share parts; the last one is a request's
/// own, or its session's.
struct prompt_part
{
  std::string mId;
  token_count mTokens = 0;
};

}
