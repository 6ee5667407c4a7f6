#pragma once

#include <StandIns/Engine/CompletionRequest.h>
#include <StandIns/EngineModel/TokenStep.h>
#include <StandIns/Http/HttpExchange.h>

#include <memory>
#include <string>

namespace lycheeseam::standin {

/// Writes one answer in OpenAI's form, streamed or whole.
class answer_writer
{
public:
  answer_writer(completion_request aRequest,
                std::shared_ptr<http_exchange> aExchange);

  [[nodiscard]] completion_request const& Request() const { return mRequest; }

  [[nodiscard]] std::shared_ptr<http_exchange> const& Exchange() const
  {
    return mExchange;
  }

  /// Prompt tokens that needn't be computed; told in the usage.
  void SetCachedTokens(token_count aTokens) { mCachedTokens = aTokens; }

  /// Writes or keeps the tokens of a step; the last one ends the answer.
  void Write(token_step const& aStep);

private:
  void WriteTokens(token_step const& aStep);
  void WriteStreamEnd();
  void RespondWhole();

  completion_request mRequest;
  std::shared_ptr<http_exchange> mExchange;
  /// What stands before and after a token's text in each chunk.
  std::string mBeforeToken;
  std::string mAfterToken;
  std::string mWhole;
  token_count mCachedTokens = 0;
  bool mStarted = false;
};

}
