#include <LibGateway/ReframeAnswerHead.h>
#include <LibHttp/FieldLookup.h>

#include <string>

namespace lycheeseam {

answer_head
ReframeAnswerHead(answer_head const& aHead,
                  body_framing aFraming,
                  connection_use aUse)
{
  answer_head reframed{ .mStatus = aHead.mStatus, .mReason = aHead.mReason };
  for (header_field const& field : aHead.mFields) {
    if (!IsSameFieldName(field.mName, "content-length") &&
        !IsConnectionField(aHead.mFields, field.mName))
      reframed.mFields.push_back(field);
  }
  if (aFraming == body_framing::Chunked)
    reframed.mFields.push_back({ "Transfer-Encoding", "chunked" });
  else
    reframed.mFields.push_back(
      { "Content-Length", std::to_string(aHead.mLength.value_or(0)) });
  if (aUse == connection_use::Closed)
    reframed.mFields.push_back({ "Connection", "close" });
  return reframed;
}

}
