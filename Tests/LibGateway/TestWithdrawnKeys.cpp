#include "GatewayFixture.h"

#include <gtest/gtest.h>
#include <platform/ConfigDocument.h>

#include <array>
#include <memory>
#include <string>
#include <string_view>

namespace lycheeseam {

namespace {

// A configuration with one route. aFields are further top-level fields.
std::shared_ptr<dispatch_config const>
ConfigWith(std::string const& aFields)
{
  return platform::ReadConfigDocument(
    R"({"version":2,"services":[{"name":"p"}],"routes":[{"name":"r",)"
    R"("host":"h","path_prefix":"/once/","kind":"non_idempotent",)"
    R"("service":"p"}])" +
    aFields + "}");
}

std::string
RequestWith(std::string_view aHeaders)
{
  return "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
         "Deadline-Ms: 1500\r\n" +
         std::string{ aHeaders } +
         "Content-Length: 5\r\nConnection: close\r\n\r\nhello";
}

constexpr std::array<std::string_view, 3> kKeyHeaders{
  "Authorization: Bearer secret\r\n",
  "Authorization: Bearer unknown\r\n",
  ""
};

// Guards against a configuration that withdraws the last workspace and thereby
// lets requests with withdrawn, unknown and no keys run.
TEST_F(TestGateway, RequestsAreUnauthorizedOnceTheLastWorkspaceIsWithdrawn)
{
  scripted_server server{ { Answer("held"), Answer("a"), Answer("b") } };
  StartGateway(std::array{ &server });
  ASSERT_TRUE(Exchange(Request("/once/x")).ends_with("held"));
  fleet_view view = *mView.Current();
  view.mConfig = ConfigWith(R"(,"tenants":[])");
  mView.Publish(std::make_shared<fleet_view const>(std::move(view)));
  for (std::string_view const header : kKeyHeaders)
    EXPECT_TRUE(
      Exchange(RequestWith(header)).starts_with("HTTP/1.1 401 Unauthorized"))
      << header;
  EXPECT_EQ(server.Requests().size(), 1U);
}

// Guards against requests refused for want of a key where the operator uses no
// keys at all.
TEST_F(TestGateway, RequestsNeedNoKeyWhereTheConfigurationHasNoWorkspaces)
{
  scripted_server server{ { Answer("a"), Answer("b"), Answer("c") } };
  StartGateway(std::array{ &server });
  fleet_view view = *mView.Current();
  view.mConfig = ConfigWith("");
  mView.Publish(std::make_shared<fleet_view const>(std::move(view)));
  for (std::string_view const header : kKeyHeaders)
    EXPECT_TRUE(Exchange(RequestWith(header)).starts_with("HTTP/1.1 200"))
      << header;
  EXPECT_EQ(server.Requests().size(), kKeyHeaders.size());
}

}

}
