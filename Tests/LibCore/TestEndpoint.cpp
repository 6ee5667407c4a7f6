#include <LibCore/Endpoint.h>
#include <LibCore/InvalidInput.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

TEST(TestEndpoint, ParseAndTextRoundTripForIpv4AndIpv6)
{
  EXPECT_EQ(endpoint::Parse("127.0.0.1:8080").Text(), "127.0.0.1:8080");
  EXPECT_EQ(endpoint::Parse("[::1]:8080").Text(), "[::1]:8080");
}

TEST(TestEndpoint, ParseRefusesHostNamesAndInvalidPorts)
{
  EXPECT_THROW(endpoint::Parse("localhost:80"), invalid_input);
  EXPECT_THROW(endpoint::Parse("127.0.0.1"), invalid_input);
  EXPECT_THROW(endpoint::Parse("127.0.0.1:0"), invalid_input);
  EXPECT_THROW(endpoint::Parse("127.0.0.1:80x"), invalid_input);
}

}
}
