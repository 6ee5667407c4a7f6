#include <LibTrace/EncodeOtlp.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace lycheeseam {
namespace {

using nlohmann::json;

TEST(TestEncodeOtlp, EncodesAnExportRequest)
{
  trace_span span;
  span.mTrace.mBytes.fill(0xab);
  span.mId.mBytes.fill(0x01);
  span.mName = "POST /v1/chat/completions";
  span.mHop = trace_hop::Attempt;
  span.mStart += std::chrono::seconds{ 1 };
  span.mEnd = span.mStart + std::chrono::nanoseconds{ 7 };
  span.mResult = span_result::Error;
  span.mAttributes = { { .mName = "tokens", .mValue = std::int64_t{ 12 } },
                       { .mName = "hit", .mValue = true } };
  std::vector<trace_span> const spans{ span };
  json const request = json::parse(
    EncodeOtlp(spans, instance_id{ "entry-1" }, failure_domain{ "bangkok-1" }));

  json const& entry = request.at("resourceSpans").at(0);
  EXPECT_EQ(entry.at("resource").at("attributes").size(), 3u);
  json const& encoded = entry.at("scopeSpans").at(0).at("spans").at(0);
  EXPECT_EQ(encoded.at("traceId"), "abababababababababababababababab");
  EXPECT_EQ(encoded.at("spanId"), "0101010101010101");
  EXPECT_FALSE(encoded.contains("parentSpanId"));
  EXPECT_EQ(encoded.at("kind"), 3);
  EXPECT_EQ(encoded.at("startTimeUnixNano"), "1000000000");
  EXPECT_EQ(encoded.at("endTimeUnixNano"), "1000000007");
  EXPECT_EQ(encoded.at("status").at("code"), 2);
  EXPECT_EQ(encoded.at("attributes").at(1),
            json::parse(R"({"key":"tokens","value":{"intValue":"12"}})"));
  EXPECT_EQ(encoded.at("attributes").at(2),
            json::parse(R"({"key":"hit","value":{"boolValue":true}})"));
}

}
}
