#include <LibCodec/CodecError.h>
#include <LibCodec/ConfigFileCodec.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

std::string
FaultOf(std::string_view aText)
{
  try {
    DecodeConfigFile(aText);
  } catch (codec_error const& fault) {
    return fault.what();
  }
  return "no fault";
}

TEST(TestConfigFileCodec, MissingTablesHaveNoValue)
{
  config_file const file = DecodeConfigFile(
    R"({"workspaces":[{"name":"riga","rate_tokens_per_s":5,"burst_tokens":9}]})");
  EXPECT_FALSE(file.mRoutes.has_value());
  EXPECT_EQ(file.mWorkspaces->at(0).mBurst, 9);
  EXPECT_EQ(DecodeConfigFile(EncodeConfigFile(file)), file);
}

TEST(TestConfigFileCodec, ErrorNamesPathValueAndWhatIsAllowed)
{
  EXPECT_EQ(FaultOf(R"({"pools":[{"name":"p","kind":"model","servers":[
    {"id":"a","address":"localhost:80","failure_domain":"d"}]}]})"),
            "$.pools[0].servers[0].address: \"localhost:80\" is refused; "
            "an endpoint's host must be an IP address, not a name");
  EXPECT_EQ(FaultOf(R"({"routes":[{"name":"r","path_prefix":"/","pool":"p",
    "access":"public"}]})"),
            "$.routes[0].access: \"public\" is refused; one of these is "
            "expected: \"keyed\" \"open\"");
  EXPECT_EQ(FaultOf(R"({"workspaces":[{"name":"w","rate_tokens_per_s":1.5,
    "burst_tokens":1}]})"),
            "$.workspaces[0].rate_tokens_per_s: 1.5 is refused; a whole "
            "number is expected");
}

TEST(TestConfigFileCodec, RefusesUnknownMissingAndDuplicateFields)
{
  EXPECT_EQ(FaultOf(R"({"keyz":[]})"),
            "$.keyz: [] is refused; the field is unknown; known are: routes "
            "pools keys workspaces");
  EXPECT_EQ(FaultOf(R"({"pools":[{"name":"p","kind":"model"}]})"),
            "$.pools[0].servers: nothing is refused; the field must be given");
  EXPECT_EQ(FaultOf(R"({"pools":[],"pools":[]})"),
            "$: pools is refused; an object names each field once");
}

}
}
