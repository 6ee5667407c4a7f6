#include <LibCore/InvalidInput.h>

#include <gtest/gtest.h>
#include <platform/RequestDialect.h>
#include <rapidcheck.h>

namespace lycheeseam::platform {

namespace {

request_head
Head(std::vector<header_field> aFields)
{
  return { .mMethod = "POST",
           .mTarget = "/a/b?c",
           .mFields = std::move(aFields) };
}

TEST(TestRequestDialect, PropertiesAreRead)
{
  request_properties const properties = request_dialect::ReadProperties(
    Head({ { "host", "h" },
           { "Request-Id", "r" },
           { "Deadline-Ms", "600" },
           { "Model", "m" },
           { "Token-Counts", "1460,80" },
           { "Prompt-Prefix", "5c:800,91:410,e4:250" },
           { "Last-Event-Id", "12" },
           { "Resumes", "q" },
           { "Authorization", "Bearer k" } }));
  EXPECT_EQ(properties.mHost, "h");
  EXPECT_EQ(properties.mPath, "/a/b");
  EXPECT_EQ(properties.mMaxWait, std::chrono::milliseconds{ 600 });
  EXPECT_EQ(properties.mPromptTokens, 1460);
  EXPECT_EQ(properties.mMaxOutputTokens, 80);
  EXPECT_EQ(properties.mLastEvent, 12U);
  EXPECT_EQ(properties.mResumes, request_id{ "q" });
  EXPECT_EQ(properties.StreamId(), request_id{ "q" });
  EXPECT_EQ(properties.mKey, "k");
  ASSERT_NE(properties.SharedPart(), nullptr);
  EXPECT_EQ(properties.SharedPart()->mId, "91");
  EXPECT_EQ(properties.SharedTokens(), 1210);
}

TEST(TestRequestDialect, MalformedNumbersAreRefused)
{
  for (header_field const& field :
       std::vector<header_field>{ { "Deadline-Ms", "soon" },
                                  { "Deadline-Ms", "-1" },
                                  { "Token-Counts", "5" },
                                  { "Prompt-Prefix", "abc" },
                                  { "Prompt-Prefix", "a:1,b:x" } })
    EXPECT_THROW(request_dialect::ReadProperties(Head({ field })),
                 invalid_input);
}

TEST(TestRequestDialect, ArbitraryFieldValuesAreReadOrRefused)
{
  std::vector<std::string> const names{
    "Deadline-Ms", "Token-Counts", "Prompt-Prefix", "Last-Event-Id"
  };
  EXPECT_TRUE(rc::check([&names](std::string const& aValue) {
    for (std::string const& name : names) {
      try {
        request_dialect::ReadProperties(Head({ { name, aValue } }));
      } catch (invalid_input const&) {
      }
    }
  }));
}

TEST(TestRequestDialect, RouterFieldsReplaceThoseOfTheCaller)
{
  send_parameters const parameters{ .mServer = backend_server_id{ "s" },
                                    .mTimeLeft =
                                      std::chrono::milliseconds{ 90 },
                                    .mWorkspace = workspace_id{ "w" },
                                    .mVersion = 3,
                                    .mCacheScope = "v3" };
  request_head const head =
    request_dialect::ForwardedRequest(Head({ { "X-Own", "1" },
                                             { "X-Own", "2" },
                                             { "Cache-Salt", "forged" },
                                             { "Hold", "forged" },
                                             { "Pin-Ms", "forged" },
                                             { "Kv-Backup", "forged" },
                                             { "Deadline-Ms", "600" },
                                             { "Connection", "X-Hop" },
                                             { "X-Hop", "1" } }),
                                      parameters);
  std::string text;
  for (header_field const& field : head.mFields)
    text += field.mName + "=" + field.mValue + ";";
  EXPECT_EQ(text,
            "X-Own=1;X-Own=2;Deadline-Ms=90;Expect-Instance=s;"
            "Request-Priority=0;Tenant=w;Expect-Version=3;Cache-Salt=v3;");
}

TEST(TestRequestDialect, AnswersAreRead)
{
  server_answer const answer =
    request_dialect::ReadAnswer({ .mStatus = 200,
                                  .mFields = { { "request-id", "r" },
                                               { "Server-Stamp", "x" },
                                               { "Server-Load", "3,1,8" },
                                               { "Weight-Versions", "4" } } });
  EXPECT_EQ(answer.mRequest, request_id{ "r" });
  EXPECT_TRUE(answer.mHasServerStamp);
  EXPECT_FALSE(answer.mIsNotRun);
  EXPECT_EQ(answer.mVersion, 4U);
  ASSERT_TRUE(answer.mLoad);
  EXPECT_EQ(answer.mLoad->mWaiting, 1U);
  EXPECT_FALSE(answer.mIsLeaving);
  EXPECT_TRUE(request_dialect::ReadAnswer({ .mStatus = 421 }).mIsMisdirected);
  EXPECT_TRUE(request_dialect::ReadAnswer(
                { .mStatus = 200, .mFields = { { "server-leaving", "1" } } })
                .mIsLeaving);
}

TEST(TestRequestDialect, RefusalsMayAskForAPause)
{
  using std::chrono::milliseconds;
  auto const pause = [](std::uint32_t aStatus, char const* aText) {
    return request_dialect::ReadAnswer(
             { .mStatus = aStatus, .mFields = { { "Retry-After", aText } } })
      .mPause;
  };
  EXPECT_EQ(pause(503, "2"), milliseconds{ 2'000 });
  EXPECT_EQ(pause(503, "0.25"), milliseconds{ 250 });
  EXPECT_EQ(pause(503, "1e300"), std::chrono::hours{ 24 });
  for (char const* const text :
       { "", "0", "-1", "nan", "2s", "Fri, 31 Dec 1999 23:59:59 GMT" })
    EXPECT_EQ(pause(503, text), milliseconds{}) << text;
  EXPECT_EQ(pause(200, "2"), milliseconds{});
}

TEST(TestRequestDialect, AnswersMayNameARateLimit)
{
  auto const limit = [](char const* aText) {
    return request_dialect::ReadAnswer(
             { .mStatus = 200, .mFields = { { "Server-Limit", aText } } })
      .mRequestsPerSecond;
  };
  EXPECT_EQ(limit("2.75"), 2.75);
  EXPECT_EQ(limit("12"), 12.0);
  EXPECT_EQ(limit("0"), 0.0);
  for (char const* const text : { "", "-1", "nan", "inf", "2/s", "1e999" })
    EXPECT_EQ(limit(text), std::nullopt) << text;
  EXPECT_EQ(request_dialect::ReadAnswer({ .mStatus = 200 }).mRequestsPerSecond,
            std::nullopt);
}

TEST(TestRequestDialect, ArbitraryLoadsAreReadOrIgnored)
{
  EXPECT_TRUE(rc::check([](std::string const& aValue) {
    request_dialect::ReadAnswer(
      { .mStatus = 200, .mFields = { { "Server-Load", aValue } } });
  }));
}

}

}
