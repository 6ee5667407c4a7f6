#pragma once

#include <StandIns/Engine/CompletionRequest.h>
#include <StandIns/EngineModel/TokenStep.h>
#include <StandIns/Http/HttpExchange.h>

#include <memory>
#include <string>

namespace lycheeseam::standin {

/// Writes one answer in OpenAI's format, as a stream or as one complete body.
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

  /// Sets the prompt tokens found in the cache, which the usage reports.
  void SetCachedTokens(token_count aTokens) { mCachedTokens = aTokens; }

  /// Streams the tokens of a step or collects them; the last step ends the
  /// answer.
  void Write(token_step const& aStep);

private:
  void WriteTokens(token_step const& aStep);
  void WriteStreamEnd();
  void RespondComplete();

  completion_request mRequest;
  std::shared_ptr<http_exchange> mExchange;
  /// The serialized chunk before and after a token's text.
  std::string mBeforeToken;
  std::string mAfterToken;
  std::string mText;
  token_count mCachedTokens = 0;
  bool mHasBegun = false;
};

}
