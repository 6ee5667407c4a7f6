#include <LibCore/InvalidInput.h>
#include <LibCore/SystemClock.h>
#include <LibFront/DecodeCall.h>
#include <LibOpenAi/ParseCompletion.h>

#include <array>

namespace lycheeseam {

namespace {

using Pistache::Http::Request;

// The header fields that are forwarded to a backend server. This is an allow
// list, since a deny list would let any new header field that carries a key
// through.
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
KeyDigestOf(Request const& aRequest)
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
    throw invalid_input("the Idempotency-Key is longer than 255 bytes");
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

digest
FingerprintOf(caller_request const& aCall)
{
  digest const body = digest::Of(*aCall.mBody);
  return digest::Of(aCall.mMethod + ' ' + aCall.mTarget + ' ' + body.Hex());
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
    .mKey = KeyDigestOf(aRequest),
    .mIdempotencyKey = IdempotencyKeyOf(aRequest),
    .mTraceparent = HeaderValue(aRequest, "traceparent"),
    .mArrival = system_clock{}.Now(),
  };
  call.mFingerprint = FingerprintOf(call);
  if (!IsCompletion(aRequest))
    return call;
  if (aRequest.method() != Pistache::Http::Method::Post)
    throw invalid_input("the method of a completion request is not POST");
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
