#include <LibGateway/IsEventStream.h>
#include <LibHttp/FieldLookup.h>

#include <optional>
#include <string_view>

namespace lycheeseam {

bool
IsEventStream(dispatch_route const& aRoute, answer_head const& aHead)
{
  if (aRoute.mKind != request_kind::Stream || !aHead.IsSuccess())
    return false;
  constexpr std::string_view kMediaType = "text/event-stream";
  std::optional<std::string_view> const type =
    FindField(aHead.mFields, "Content-Type");
  // Parameters may follow the media type.
  return !type ||
         IsSameFieldName(type->substr(0, kMediaType.size()), kMediaType);
}

}
