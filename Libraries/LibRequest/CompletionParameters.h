#pragma once

#include <LibCore/Identifiers.h>

#include <optional>
#include <string>

namespace lycheeseam {

/// Whether a completion's tokens come as they are made.
enum class answer_delivery
{
  Whole,
  Streamed,
};

/// What routing needs to know of a completion request's body.
struct completion_parameters
{
  model_name mModel;
  /// The prompt as one text, in the order in which engines cache it.
  std::string mPrompt;
  answer_delivery mDelivery = answer_delivery::Whole;
  /// The largest answer that the caller allows, in tokens, if it said so.
  std::optional<token_count> mMaxTokens;
};

}
