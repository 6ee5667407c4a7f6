#include <LibCore/InvalidInput.h>
#include <LibCore/SystemClock.h>
#include <LibFront/DecodeCall.h>
#include <LibOpenAi/ParseCompletion.h>

#include <array>

namespace lycheeseam {

namespace {

using Pistache::Http::Request;

// What may go on to a backend server. It is a list of what is allowed, since
// a list of what isn't would let the next way to send a key through.
constexpr std::array kForwardedHeaders{
  "Accept",     "Accept-Language", "Content-Type",      "Idempotency-Key",
  "If-Match",   "If-None-Match",   "If-Modified-Since", "Range",
  "User-Agent",
};

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;

std::string
HeaderValue(Request const& aRequest, char const* aName)
{
  std::optional<Pistache::Http::Header::Raw> const raw =
    aRequest.headers().tryGetRaw(aName);
  return raw ? raw->value() : std::string{};
}

std::optional<digest>
KeyOf(Request const& aRequest)
{
  std::string const authorization = HeaderValue(aRequest, "Authorization");
  if (!authorization.starts_with(kBearer))
    return std::nullopt;
  return digest::Of(std::string_view{ authorization }.substr(kBearer.size()));
}

std::optional<idempotency_key>
IdempotencyKeyOf(Request const& aRequest)
{
  std::string value = HeaderValue(aRequest, "Idempotency-Key");
  if (value.empty())
    return std::nullopt;
  if (value.size() > kMaxIdempotencyKeyBytes)
    throw invalid_input("an Idempotency-Key has at most 255 bytes");
  return idempotency_key{ std::move(value) };
}

std::vector<header_field>
ForwardedHeaders(Request const& aRequest)
{
  std::vector<header_field> fields;
  for (char const* const name : kForwardedHeaders) {
    std::string value = HeaderValue(aRequest, name);
    if (!value.empty())
      fields.push_back({ .mName = name, .mValue = std::move(value) });
  }
  return fields;
}

bool
IsCompletion(Request const& aRequest)
{
  std::string const& path = aRequest.resource();
  return path == "/v1/chat/completions" || path == "/v1/completions";
}

caller_request
Decode(Request const& aRequest, call_number aCall, request_id const& aId)
{
  caller_request call{
    .mCall = aCall,
    .mId = aId,
    .mMethod = Pistache::Http::methodString(aRequest.method()),
    .mTarget = aRequest.resource() + aRequest.query().as_str(),
    .mHeaders = ForwardedHeaders(aRequest),
    .mBody = std::make_shared<std::string const>(aRequest.body()),
    .mKey = KeyOf(aRequest),
    .mIdempotencyKey = IdempotencyKeyOf(aRequest),
    .mTraceparent = HeaderValue(aRequest, "traceparent"),
    .mArrival = system_clock{}.Now(),
  };
  if (!IsCompletion(aRequest))
    return call;
  if (aRequest.method() != Pistache::Http::Method::Post)
    throw invalid_input("completions are asked for with POST");
  call.mKind = call_kind::Completion;
  call.mCompletion = ParseCompletion(*call.mBody);
  return call;
}

}

decoded_call
DecodeCall(Request const& aRequest, call_number aCall, request_id const& aId)
{
  try {
    return Decode(aRequest, aCall, aId);
  } catch (invalid_input const& fault) {
    return refusal{ .mCode = refusal_code::InvalidRequest,
                    .mMessage = fault.what() };
  }
}

}
