#include <LibGateway/AnswerFormat.h>
#include <LibGateway/ReframeAnswerHead.h>
#include <LibHttp/FormatHead.h>

namespace lycheeseam {

std::string
answer_format::Head(answer_head const& aHead,
                    body_framing aFraming,
                    connection_use aUse)
{
  mFraming = aFraming;
  return FormatAnswerHead(ReframeAnswerHead(aHead, aFraming, aUse));
}

std::string_view
answer_format::Piece(std::string_view aPiece)
{
  if (mFraming == body_framing::Sized)
    return aPiece;
  mChunk = FormatChunkLine(aPiece.size());
  mChunk += aPiece;
  mChunk += "\r\n";
  return mChunk;
}

std::string_view
answer_format::End() const
{
  return mFraming == body_framing::Chunked ? kLastChunk : std::string_view{};
}

std::string
answer_format::CompleteAnswer(answer_head aHead,
                              std::string_view aBody,
                              connection_use aUse) const
{
  if (!aHead.mLength || !mIsToHead)
    aHead.mLength = aBody.size();
  std::string bytes =
    FormatAnswerHead(ReframeAnswerHead(aHead, body_framing::Sized, aUse));
  bytes += aBody;
  return bytes;
}

}
