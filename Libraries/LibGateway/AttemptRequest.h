#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/PartCrashes.h>
#include <LibDispatch/PrefixHolder.h>
#include <LibGateway/ObservedAttempt.h>

#include <memory>
#include <string>
#include <vector>

namespace lycheeseam {

/// A request as it is sent to one server.
struct attempt_request
{
  /// The bytes of the request line and the header fields, up to the empty line.
  std::string mHead;
  std::shared_ptr<std::string const> mBody;
  bool mAnswerHasBody = true;
  /// Tokens of the prompt and of the longest possible answer, which occupy the
  /// server's memory.
  token_count mTokens = 0;
  /// Tokens of the prompt alone; 0 when the request doesn't state its size.
  token_count mPromptTokens = 0;
  /// The shared prompt prefixes that the server holds once it has read the
  /// prompt.
  std::vector<prefix_holder> mPrefixes;
  /// What is known now of the prompt's parts and the crashes of servers.
  std::vector<part_crashes> mPartCrashes;
  observed_attempt mObserved;
};

}
