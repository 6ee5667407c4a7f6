#pragma once

#include <LibCore/Identifiers.h>

#include <StandIns/Http/HttpRequest.h>

#include <cstdint>
#include <string>

namespace lycheeseam::standin {

/// The OpenAI call that a request makes.
enum class completion_kind
{
  Chat,
  Text,
};

/// Whether an answer is sent token by token or as one body.
enum class answer_form
{
  Streamed,
  Complete,
};

/// The parsed form of a completion request.
struct completion_request
{
  completion_kind mKind = completion_kind::Chat;
  answer_form mForm = answer_form::Complete;
  request_id mId;
  workspace_id mWorkspace;
  model_name mModel;
  std::string mPrompt;
  /// Each token of the answer contains this name, so that tests detect an
  /// answer that reaches the wrong caller.
  std::string mAnswerName;
  std::int32_t mPriority = 1;
  token_count mMaxTokens = 0;
  /// Tokens of the answer that an earlier engine has already sent.
  token_count mTokensSent = 0;
};

/// Parses a request; throws invalid_input if it isn't a completion request or
/// if its resume_from isn't the beginning of its answer.
completion_request
ParseCompletion(http_request const& aRequest, token_count aDefaultMaxTokens);

/// The text of one token of an answer.
std::string
TokenText(std::string_view aAnswerName, token_count aIndex);

}
