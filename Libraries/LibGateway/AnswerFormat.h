#pragma once

#include <LibGateway/BodyFraming.h>
#include <LibGateway/ConnectionUse.h>
#include <LibHttp/AnswerHead.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// The bytes of one answer to a caller, in the framing of the caller's
/// connection.
class answer_format
{
public:
  /// The answer to HEAD tells the length of a body that it doesn't have.
  void SetIsToHead(bool aIsToHead) noexcept { mIsToHead = aIsToHead; }

  /// The bytes of a head whose body follows in pieces.
  std::string Head(answer_head const& aHead,
                   body_framing aFraming,
                   connection_use aUse);

  /// The bytes of a piece; valid until the next call and as long as it.
  std::string_view Piece(std::string_view aPiece);

  /// What ends the body.
  [[nodiscard]] std::string_view End() const;

  /// The bytes of an answer whose body is known.
  [[nodiscard]] std::string Whole(answer_head aHead,
                                  std::string_view aBody,
                                  connection_use aUse) const;

private:
  body_framing mFraming = body_framing::Sized;
  std::string mChunk;
  bool mIsToHead = false;
};

}
