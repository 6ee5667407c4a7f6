#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/PrefixHolder.h>

#include <memory>
#include <optional>
#include <string>

namespace lycheeseam {

/// What is sent to one server.
struct attempt_request
{
  /// The bytes up to the empty line.
  std::string mHead;
  std::shared_ptr<std::string const> mBody;
  bool mAnswerHasBody = true;
  /// What it may take of the server's memory.
  token_count mTokens = 0;
  /// The shared prompt part that the server has read once it has answered.
  std::optional<prefix_holder> mPart;
};

}
