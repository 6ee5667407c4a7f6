#include "GatewayFixture.h"

#include <array>
#include <string>

namespace lycheeseam {

namespace {

std::string
LeavingAnswer(std::string const& aBody)
{
  return Answer(aBody, "Server-Leaving: 1\r\n");
}

// Guards against requests to a server whose answers say that it is leaving,
// while its entry doesn't.
TEST_F(TestGateway, ServerThatAnnouncesThatItLeavesGetsNoMoreRequests)
{
  scripted_server leaving{ { LeavingAnswer("last"), Answer("one more") } };
  scripted_server staying{ { Answer("a"), Answer("b") } };
  StartGateway(std::array{ &leaving, &staying });
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\nlast"));
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\na"));
  EXPECT_TRUE(Exchange(Request("/once/x")).ends_with("\r\n\r\nb"));
  EXPECT_EQ(leaving.Requests().size(), 1U);
}

// A view that was published before knows nothing of what an answer announced.
TEST_F(TestGateway, AnnouncementOfLeavingOutlastsOlderViews)
{
  scripted_server leaving{ { LeavingAnswer("last"), Answer("one more") } };
  scripted_server staying{ { Answer("a") } };
  StartGateway(std::array{ &leaving, &staying });
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\nlast"));
  mView.Publish(std::make_shared<fleet_view const>(*mView.Current()));
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\na"));
  EXPECT_EQ(leaving.Requests().size(), 1U);
}

// A restart begins a new incarnation, which hasn't announced anything.
TEST_F(TestGateway, RestartedServerGetsRequestsAgain)
{
  scripted_server server{ { LeavingAnswer("last"), Answer("back") } };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\nlast"));
  fleet_view view = *mView.Current();
  view.mServers[0].mIncarnation = incarnation{ 2 };
  mView.Publish(std::make_shared<fleet_view const>(std::move(view)));
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\nback"));
}

// The field then speaks of the server that has taken the address.
TEST_F(TestGateway, AnnouncementOfAnotherServerIsNotTakenForThisOne)
{
  std::string const misdirected =
    "HTTP/1.1 421 Misdirected\r\nRequest-Id: r1\r\nServer-Leaving: 1\r\n"
    "Content-Length: 0\r\n\r\n";
  scripted_server server{ { misdirected, Answer("still here") } };
  scripted_server other{ { Answer("a") } };
  StartGateway(std::array{ &server, &other });
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\na"));
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\nstill here"));
}

}

}
