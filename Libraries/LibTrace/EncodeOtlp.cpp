#include <LibTrace/EncodeOtlp.h>
#include <LibTrace/TraceHex.h>

#include <nlohmann/json.hpp>

namespace lycheeseam {

using nlohmann::json;

namespace {

// Values of the enumerations SpanKind and StatusCode of opentelemetry-proto.
constexpr int kSpanKindInternal = 1;
constexpr int kSpanKindServer = 2;
constexpr int kSpanKindClient = 3;
constexpr int kStatusUnset = 0;
constexpr int kStatusOk = 1;
constexpr int kStatusError = 2;

// Encodes a value as an AnyValue, which has a field for each type. The JSON
// mapping of Protocol Buffers writes 64-bit integers as strings.
struct attribute_encoder
{
  json operator()(std::string const& aValue) const
  {
    return { { "stringValue", aValue } };
  }
  json operator()(std::int64_t aValue) const
  {
    return { { "intValue", std::to_string(aValue) } };
  }
  json operator()(double aValue) const { return { { "doubleValue", aValue } }; }
  json operator()(bool aValue) const { return { { "boolValue", aValue } }; }
};

json
EncodeAttribute(span_attribute const& aAttribute)
{
  return { { "key", aAttribute.mName },
           { "value", std::visit(attribute_encoder{}, aAttribute.mValue) } };
}

json
EncodeText(std::string const& aName, std::string aValue)
{
  return EncodeAttribute({ .mName = aName, .mValue = std::move(aValue) });
}

int
SpanKind(trace_hop aHop)
{
  if (aHop == trace_hop::Front)
    return kSpanKindServer;
  if (aHop == trace_hop::Attempt || aHop == trace_hop::Peer)
    return kSpanKindClient;
  return kSpanKindInternal;
}

int
StatusCode(span_result aResult)
{
  switch (aResult) {
    case span_result::Ok:
      return kStatusOk;
    case span_result::Error:
      return kStatusError;
    case span_result::Unset:
      break;
  }
  return kStatusUnset;
}

std::string
NanosecondsText(trace_span::wall_time aTime)
{
  return std::to_string(aTime.time_since_epoch().count());
}

json
EncodeSpan(trace_span const& aSpan)
{
  json attributes = json::array();
  attributes.push_back(
    EncodeText("lycheeseam.hop", std::string{ TraceHopName(aSpan.mHop) }));
  for (span_attribute const& attribute : aSpan.mAttributes)
    attributes.push_back(EncodeAttribute(attribute));
  json encoded = { { "traceId", TraceIdHex(aSpan.mTrace) },
                   { "spanId", SpanIdHex(aSpan.mId) },
                   { "name", aSpan.mName },
                   { "kind", SpanKind(aSpan.mHop) },
                   { "startTimeUnixNano", NanosecondsText(aSpan.mStart) },
                   { "endTimeUnixNano", NanosecondsText(aSpan.mEnd) },
                   { "attributes", std::move(attributes) },
                   { "status", { { "code", StatusCode(aSpan.mResult) } } } };
  if (aSpan.mParent != span_id{})
    encoded["parentSpanId"] = SpanIdHex(aSpan.mParent);
  return encoded;
}

}

std::string
EncodeOtlp(std::span<trace_span const> aSpans,
           instance_id const& aInstance,
           failure_domain const& aFailureDomain)
{
  json spans = json::array();
  for (trace_span const& span : aSpans)
    spans.push_back(EncodeSpan(span));
  json resource = json::array();
  resource.push_back(EncodeText("service.name", "lycheeseamd"));
  resource.push_back(EncodeText("service.instance.id", aInstance.Text()));
  resource.push_back(
    EncodeText("cloud.availability_zone", aFailureDomain.Text()));
  json scope = { { "scope", { { "name", "lycheeseam" } } },
                 { "spans", std::move(spans) } };
  json entry = { { "resource", { { "attributes", std::move(resource) } } },
                 { "scopeSpans", json::array({ std::move(scope) }) } };
  json const request = { { "resourceSpans",
                           json::array({ std::move(entry) }) } };
  return request.dump(-1, ' ', false, json::error_handler_t::replace);
}

}
