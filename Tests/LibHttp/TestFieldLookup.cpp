#include <LibHttp/FieldLookup.h>
#include <LibHttp/FormatHead.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

TEST(TestFieldLookup, FieldNamesAreComparedWithoutCase)
{
  std::vector<header_field> const fields{ { "Request-Id", "1" } };
  EXPECT_EQ(FindField(fields, "request-ID"), "1");
  EXPECT_FALSE(FindField(fields, "request-id2"));
}

TEST(TestFieldLookup, ConnectionFieldsIncludeThoseThatConnectionNames)
{
  std::vector<header_field> const fields{ { "Connection", "close, X-Hop" } };
  EXPECT_TRUE(IsConnectionField(fields, "x-hop"));
  EXPECT_TRUE(IsConnectionField(fields, "Transfer-Encoding"));
  EXPECT_FALSE(IsConnectionField(fields, "Host"));
}

TEST(TestFieldLookup, OnlyTextsThatAreWholeNumbersAreParsed)
{
  EXPECT_EQ(ParseWholeNumber("12"), 12);
  EXPECT_FALSE(ParseWholeNumber("12x"));
  EXPECT_FALSE(ParseWholeNumber(""));
  EXPECT_FALSE(ParseWholeNumber("99999999999999999999"));
}

TEST(TestFieldLookup, HeadsAndChunksAreFormatted)
{
  EXPECT_EQ(
    FormatRequestHead(
      { .mMethod = "GET", .mTarget = "/a?b", .mFields = { { "Host", "h" } } }),
    "GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(FormatAnswerHead({ .mStatus = 200, .mReason = "OK" }),
            "HTTP/1.1 200 OK\r\n\r\n");
  EXPECT_EQ(FormatChunkLine(255), "ff\r\n");
}

}

}
