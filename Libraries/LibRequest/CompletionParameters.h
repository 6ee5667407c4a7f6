#pragma once

#include <LibCore/Identifiers.h>

#include <optional>
#include <string>

namespace lycheeseam {

/// Whether a completion's answer is sent at once or streamed token by token.
enum class answer_delivery
{
  Complete,
  Streamed,
};

/// The parts of a completion request's body that routing uses.
struct completion_parameters
{
  model_name mModel;
  /// The prompt as one text, in the order in which engines cache it.
  std::string mPrompt;
  answer_delivery mDelivery = answer_delivery::Complete;
  /// The request's limit on the answer's length, in tokens, if it sets one.
  std::optional<token_count> mMaxTokens;
};

}
