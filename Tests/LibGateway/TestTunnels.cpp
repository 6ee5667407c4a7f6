#include "ResettingServer.h"
#include "TunnelFixture.h"

#include <array>
#include <future>
#include <string>
#include <vector>

namespace lycheeseam {

namespace {

bool
IsRefusedAsNotRun(std::string const& aAnswer)
{
  return aAnswer.starts_with("HTTP/1.1 503");
}

// Guards against callers who are refused because the instance that they use has
// lost its own way to the servers.
TEST_F(TestTunnels, RequestsReachServersThroughAPeer)
{
  scripted_server server{ { Answer("a"), Answer("b") } };
  StartCutOff(std::array{ &server });
  StartPeer("peer", mReachable);
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\na"));
  EXPECT_TRUE(Exchange(Request("/once/x")).ends_with("\r\n\r\nb"));
  ASSERT_EQ(server.Requests().size(), 2U);
  EXPECT_TRUE(Contains(server.Requests()[0], "Tenant: shop\r\n"));
  EXPECT_TRUE(server.Requests()[0].ends_with("\r\n\r\nhello"));
}

TEST_F(TestTunnels, StreamsArePassedOnEventByEvent)
{
  scripted_server server{ { StreamHead() + Chunk("id: 1\ndata: a\n\n") +
                            "\x1e" + Chunk("id: 2\ndata: b\n\n") +
                            "0\r\n\r\n" } };
  StartCutOff(std::array{ &server });
  StartPeer("peer", mReachable);
  std::string const answer = Exchange(Request("/stream/x"));
  EXPECT_TRUE(Contains(answer, "id: 1\ndata: a\n\n"));
  EXPECT_TRUE(Contains(answer, "id: 2\ndata: b\n\n"));
  EXPECT_TRUE(answer.ends_with("0\r\n\r\n"));
}

// Guards against a request that isn't idempotent and runs twice.
TEST_F(TestTunnels, RequestWhoseAnswerIsLostIsNotSentAgain)
{
  scripted_server server{ { "close", Answer("again") } };
  StartCutOff(std::array{ &server });
  StartPeer("peer", mReachable);
  EXPECT_TRUE(Exchange(Request("/once/x")).starts_with("HTTP/1.1 502"));
  EXPECT_EQ(server.Requests().size(), 1U);
}

// Guards against an answer that a server broke off and that looks complete.
TEST_F(TestTunnels, AnswerThatIsBrokenOffIsNotPassedOnAsComplete)
{
  scripted_server server{ { "HTTP/1.1 200 OK\r\nRequest-Id: "
                            "r1\r\nContent-Length: 20\r\n\r\npart\a" } };
  StartCutOff(std::array{ &server });
  StartPeer("peer", mReachable);
  EXPECT_TRUE(Exchange(Request("/once/x")).starts_with("HTTP/1.1 502"));
}

// Guards against the same where only the end of the connection shows how long
// the answer is.
TEST_F(TestTunnels, AnswerToAnUploadThatIsResetIsNotPassedOnAsComplete)
{
  resetting_server server{ "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                           "Server-Stamp: s\r\n\r\nten bytes." };
  StartCutOffFrom(std::array{ server.Address() });
  StartPeer("peer", mReachable);
  constexpr int kUploads = 40;
  for (std::size_t const bytes : { 20'000U, 900'000U }) {
    std::string const request =
      "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
      "Deadline-Ms: 1500\r\nAuthorization: Bearer secret\r\n"
      "Content-Length: " +
      std::to_string(bytes) + "\r\nConnection: close\r\n\r\n" +
      std::string(bytes, 'x');
    for (int sent = 0; sent < kUploads; ++sent)
      EXPECT_FALSE(Exchange(request).starts_with("HTTP/1.1 200")) << bytes;
  }
}

// Guards against requests without any path while the peers that have one are in
// a planned stop.
TEST_F(TestTunnels, PeerInAPlannedStopOpensTunnelsUntilShortlyBeforeItsEnd)
{
  scripted_server server{ { Answer("a") } };
  StartCutOff(std::array{ &server });
  peer_instance& peer = StartPeer("peer", mReachable);
  fleet_view view = *mView.Current();
  view.mStoppingInstances = std::move(view.mReadyInstances);
  view.mReadyInstances.clear();
  mView.Publish(std::make_shared<fleet_view const>(std::move(view)));
  peer.Do([](peer_instance::test_gateway& aGateway) {
    aGateway.StartDraining();
    aGateway.RefuseRequests();
  });
  EXPECT_TRUE(Exchange(Request("/once/x")).ends_with("\r\n\r\na"));
  peer.Do(
    [](peer_instance::test_gateway& aGateway) { aGateway.RefuseTunnels(); });
  EXPECT_TRUE(IsRefusedAsNotRun(Exchange(Request("/once/x"))));
}

// Guards against servers that work for callers who have left.
TEST_F(TestTunnels, ServerSeesThatTheCallerHasLeft)
{
  scripted_server server{ { "hang" } };
  StartCutOff(std::array{ &server });
  StartPeer("peer", mReachable);
  {
    boost::asio::io_context context;
    tcp::socket socket{ context };
    socket.connect(
      { boost::asio::ip::make_address(mCallers.mAddress), mCallers.mPort });
    boost::asio::write(socket, boost::asio::buffer(Request("/safe/x")));
    while (server.Requests().empty())
      std::this_thread::sleep_for(std::chrono::milliseconds{ 5 });
  }
  constexpr int kTries = 100;
  for (int tries = 0; server.Abandoned() == 0 && tries < kTries; ++tries)
    std::this_thread::sleep_for(std::chrono::milliseconds{ 5 });
  EXPECT_EQ(server.Abandoned(), 1);
}

TEST_F(TestTunnels, PeersThatAreCutOffAsWellArePassedOver)
{
  scripted_server server{ { Answer("a"), Answer("b"), Answer("c") } };
  StartCutOff(std::array{ &server });
  for (char const* const name : { "cut-1", "cut-2" })
    StartPeer(name, CutOffView());
  StartPeer("peer", mReachable);
  for (char const* const body : { "a", "b", "c" })
    EXPECT_TRUE(
      Exchange(Request("/safe/x")).ends_with(std::string{ "\r\n\r\n" } + body));
}

// Guards against requests that go round between instances none of which
// reaches a server.
TEST_F(TestTunnels, RequestIsRefusedSoonWhenNoInstanceReachesServers)
{
  scripted_server server{ std::vector<std::string>{} };
  StartCutOff(std::array{ &server });
  reserved_address const ended;
  fleet_view view = CutOffView();
  view.mReadyInstances = { { .mInstance = instance_id{ "self" },
                             .mTunnels = ended.Address() } };
  for (char const* const name : { "cut-1", "cut-2", "cut-3" })
    StartPeer(name, view);
  std::chrono::steady_clock::time_point const start =
    std::chrono::steady_clock::now();
  EXPECT_TRUE(IsRefusedAsNotRun(Exchange(Request("/once/x"))));
  EXPECT_LT(std::chrono::steady_clock::now() - start,
            std::chrono::milliseconds{ 1'000 });
}

// Guards against servers that get no requests for seconds because the path to
// them failed: the breakers of all were opened, and no tunnel was tried.
TEST_F(TestTunnels, PathThatFailsOpensNoBreaker)
{
  scripted_server server{ { Answer("a") } };
  StartCutOff(std::array{ &server });
  StartPeer("cut", CutOffView());
  for (int request = 0; request < 3; ++request)
    EXPECT_TRUE(IsRefusedAsNotRun(Exchange(Request("/once/x"))));
  StartPeer("peer", mReachable);
  EXPECT_TRUE(Exchange(Request("/once/x")).ends_with("\r\n\r\na"));
}

// The same for peers that have another view of the servers.
TEST_F(TestTunnels, PeersThatDoNotKnowTheServerOpenNoBreaker)
{
  scripted_server server{ { Answer("a") } };
  StartCutOff(std::array{ &server });
  fleet_view other = mReachable;
  other.mServers[0].mIncarnation = incarnation{ 9 };
  peer_instance& peer = StartPeer("peer", other);
  for (int request = 0; request < 3; ++request)
    EXPECT_TRUE(IsRefusedAsNotRun(Exchange(Request("/once/x"))));
  peer.SetView(mReachable);
  EXPECT_TRUE(Exchange(Request("/once/x")).ends_with("\r\n\r\na"));
}

// Guards against a server that is left out because the peers in between ended
// while they carried its answers.
TEST_F(TestTunnels, PeersThatEndOpenNoBreaker)
{
  constexpr int kLostPeers = 4;
  std::vector<std::string> answers(kLostPeers, "hang");
  answers.push_back(Answer("a"));
  scripted_server server{ std::move(answers) };
  StartCutOff(std::array{ &server });
  for (std::size_t lost = 0; lost < kLostPeers; ++lost) {
    StartPeer("peer-" + std::to_string(lost), mReachable);
    // Requests that are alike would be taken for ones that crash servers.
    std::string const path = "/once/" + std::to_string(lost);
    std::future<std::string> answer = std::async(
      std::launch::async, [this, path]() { return Exchange(Request(path)); });
    while (server.Requests().size() <= lost)
      std::this_thread::sleep_for(std::chrono::milliseconds{ 5 });
    mPeers.clear();
    EXPECT_TRUE(answer.get().starts_with("HTTP/1.1 502"));
  }
  StartPeer("peer", mReachable);
  EXPECT_TRUE(Exchange(Request("/once/x")).ends_with("\r\n\r\na"));
}

TEST_F(TestTunnels, PeerOpensNoTunnelToAServerThatItKnowsToBeLeaving)
{
  scripted_server server{ { Answer("late") } };
  StartCutOff(std::array{ &server });
  mReachable.mServers[0].mStage = server_stage::Leaving;
  StartPeer("peer", mReachable);
  EXPECT_TRUE(IsRefusedAsNotRun(Exchange(Request("/once/x"))));
  EXPECT_TRUE(server.Requests().empty());
}

TEST_F(TestTunnels, PeerOpensNoTunnelToAnotherIncarnation)
{
  scripted_server server{ { Answer("other") } };
  StartCutOff(std::array{ &server });
  mReachable.mServers[0].mIncarnation = incarnation{ 9 };
  StartPeer("peer", mReachable);
  EXPECT_TRUE(IsRefusedAsNotRun(Exchange(Request("/once/x"))));
  EXPECT_TRUE(server.Requests().empty());
}

// The server counts the request as the peer's, which must keep to what the
// answer announces.
TEST_F(TestTunnels, PeerLearnsThatTheServerIsLeaving)
{
  scripted_server server{ { Answer("last", "Server-Leaving: 1\r\n"),
                            Answer("one more") } };
  StartCutOff(std::array{ &server });
  peer_instance& peer = StartPeer("peer", mReachable);
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\nlast"));
  EXPECT_TRUE(
    IsRefusedAsNotRun(ExchangeAt(peer.Callers(), Request("/once/x"))));
  EXPECT_EQ(server.Requests().size(), 1U);
}

// Guards against an instance that goes on through peers when it reaches servers
// itself.
TEST_F(TestTunnels, ConnectionsAreDirectAgainOnceServersAreReachable)
{
  scripted_server server{ [](std::string const&) {
    return Answer("a") + "\a";
  } };
  StartCutOff(std::array{ &server });
  peer_instance& peer = StartPeer("peer", mReachable);
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\na"));
  // The way is back; the next probe shows it.
  fleet_view view = *mView.Current();
  view.mServers[0].mAddress = server.Address();
  mView.Publish(std::make_shared<fleet_view const>(std::move(view)));
  std::this_thread::sleep_for(std::chrono::milliseconds{ 600 });
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\na"));
  std::this_thread::sleep_for(std::chrono::milliseconds{ 100 });
  fleet_view withoutServers = peer.View();
  withoutServers.mServers.clear();
  peer.SetView(withoutServers);
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\na"));
}

}

}
