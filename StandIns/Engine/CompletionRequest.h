#pragma once

#include <LibCore/Identifiers.h>

#include <StandIns/Http/HttpRequest.h>

#include <cstdint>
#include <string>

namespace lycheeseam::standin {

/// Which of OpenAI's calls a request is.
enum class completion_kind
{
  Chat,
  Text,
};

/// Whether an answer goes out token by token.
enum class answer_form
{
  Streamed,
  Whole,
};

/// A completion request as the engine understands it.
struct completion_request
{
  completion_kind mKind = completion_kind::Chat;
  answer_form mForm = answer_form::Whole;
  request_id mId;
  workspace_id mWorkspace;
  model_name mModel;
  std::string mPrompt;
  /// What each token of the answer carries, so that a crossed answer shows.
  std::string mAnswerName;
  std::int32_t mPriority = 1;
  token_count mMaxTokens = 0;
  /// Tokens of the answer that an earlier engine has already sent.
  token_count mTokensSent = 0;
};

/// Reads a request; throws invalid_input if it isn't a completion request or
/// if its resume_from isn't the beginning of its answer.
completion_request
ParseCompletion(http_request const& aRequest, token_count aDefaultMaxTokens);

/// The text of one token of an answer.
std::string
TokenText(std::string_view aAnswerName, token_count aIndex);

}
