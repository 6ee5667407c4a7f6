#pragma once

#include <LibGateway/BodyFraming.h>
#include <LibGateway/ConnectionUse.h>
#include <LibHttp/AnswerHead.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// Formats one answer to a caller, in the body framing of the caller's
/// connection.
class answer_format
{
public:
  /// Sets whether the answer is to a HEAD request: such an answer states the
  /// length of a body that is not sent.
  void SetIsToHead(bool aIsToHead) noexcept { mIsToHead = aIsToHead; }

  /// Formats a head whose body follows in pieces.
  std::string Head(answer_head const& aHead,
                   body_framing aFraming,
                   connection_use aUse);

  /// Formats a piece of the body. The result is valid until the next call, and
  /// no longer than aPiece is.
  std::string_view Piece(std::string_view aPiece);

  /// The bytes that end the body; empty when the head states its length.
  [[nodiscard]] std::string_view End() const;

  /// Formats an answer whose complete body is known.
  [[nodiscard]] std::string CompleteAnswer(answer_head aHead,
                                           std::string_view aBody,
                                           connection_use aUse) const;

private:
  body_framing mFraming = body_framing::Sized;
  std::string mChunk;
  bool mIsToHead = false;
};

}
