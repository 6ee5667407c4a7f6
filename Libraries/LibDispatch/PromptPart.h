#pragma once

#include <LibCore/Identifiers.h>

#include <string>

namespace lycheeseam {

/// One part of a prompt. Requests may share parts, except for the last one,
/// which belongs to a single request or session.
struct prompt_part
{
  std::string mId;
  token_count mTokens = 0;
};

}
