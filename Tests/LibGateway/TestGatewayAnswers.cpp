#include "GatewayFixture.h"

#include <array>
#include <thread>

namespace lycheeseam {

namespace {

using tcp = boost::asio::ip::tcp;

// Guards against an answer that mixes bytes of two servers, found on day
// trouble-2: an answer of unknown length breaks off after its first part, and
// another server answers completely.
TEST_F(TestGateway, BrokenAnswerOfUnknownLengthIsReplacedCompletely)
{
  std::string const broken =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n" +
    Chunk("part of") + "\a";
  std::shared_ptr<answer_script> const script = std::make_shared<answer_script>(
    std::vector<std::string>{ broken, Answer("whole") });
  scripted_server first{ script };
  scripted_server second{ script };
  StartGateway(std::array{ &first, &second });
  std::string const answer = Exchange(Request("/safe/x"));
  EXPECT_TRUE(answer.ends_with("\r\n\r\nwhole"));
  EXPECT_FALSE(Contains(answer, "part of"));
}

TEST_F(TestGateway, AnswerThatEndsWithItsConnectionIsComplete)
{
  scripted_server server{
    { "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n\r\nall\a" }
  };
  StartGateway(std::array{ &server });
  std::string const answer = Exchange(Request("/safe/x"));
  EXPECT_TRUE(answer.ends_with("\r\n\r\nall"));
  EXPECT_TRUE(Contains(answer, "Content-Length: 3"));
}

TEST_F(TestGateway, AnswerToAnotherRequestIsSkipped)
{
  std::string stray = Answer("stray");
  stray.replace(stray.find("r1"), 2, "r0");
  scripted_server server{ { stray + Answer("own") } };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Exchange(Request("/once/x")).ends_with("\r\n\r\nown"));
}

TEST_F(TestGateway, SuccessWithoutServerStampIsRejected)
{
  scripted_server server{
    { "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 1\r\n\r\nx" }
  };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Contains(Exchange(Request("/once/x")), "502"));
}

TEST_F(TestGateway, StreamContinuesOnAnotherServer)
{
  // The server that is chosen first breaks off in its second event.
  std::string const broken =
    StreamHead() + Chunk("id: 1\ndata: a\n\nid: 2\nda") + "\a";
  std::string const rest =
    StreamHead() + Chunk("id: 2\ndata: b\n\n") + std::string{ kLastChunk };
  std::shared_ptr<answer_script> const script =
    std::make_shared<answer_script>(std::vector<std::string>{ broken, rest });
  scripted_server first{ script };
  scripted_server second{ script };
  StartGateway(std::array{ &first, &second });
  std::string const answer = Exchange(Request("/stream/x"));
  EXPECT_TRUE(Contains(answer, "id: 1\ndata: a\n\n"));
  EXPECT_TRUE(Contains(answer, "id: 2\ndata: b\n\n"));
  EXPECT_TRUE(answer.ends_with(kLastChunk));
  ASSERT_EQ(first.Requests().size(), 1U);
  ASSERT_EQ(second.Requests().size(), 1U);
  bool const isFirst = Contains(first.Requests()[0], "Last-Event-Id: 1");
  bool const isSecond = Contains(second.Requests()[0], "Last-Event-Id: 1");
  EXPECT_NE(isFirst, isSecond);
}

TEST_F(TestGateway, BrokenNonResumableStreamEndsWithoutLastChunk)
{
  scripted_server server{ { StreamHead() + Chunk("id: 1\n\n") + "\a" } };
  StartGateway(std::array{ &server });
  std::string const answer = Exchange(Request("/single/x"));
  EXPECT_TRUE(Contains(answer, "id: 1\n\n"));
  EXPECT_FALSE(answer.ends_with(kLastChunk));
}

TEST_F(TestGateway, CallerDisconnectClosesTheServerConnection)
{
  scripted_server server{ { "hang" } };
  StartGateway(std::array{ &server });
  {
    boost::asio::io_context context;
    tcp::socket socket{ context };
    socket.connect(
      { boost::asio::ip::make_address(mCallers.mAddress), mCallers.mPort });
    boost::asio::write(socket, boost::asio::buffer(Request("/once/x")));
    while (server.Requests().empty())
      std::this_thread::sleep_for(std::chrono::milliseconds{ 5 });
  }
  auto const end =
    std::chrono::steady_clock::now() + std::chrono::milliseconds{ 500 };
  while (server.Abandoned() == 0 && std::chrono::steady_clock::now() < end)
    std::this_thread::sleep_for(std::chrono::milliseconds{ 5 });
  EXPECT_EQ(server.Abandoned(), 1);
}

TEST_F(TestGateway, UnansweredRequestEndsInTimeout)
{
  scripted_server server{ { "hang" } };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Contains(Exchange(Request("/once/x")), "504"));
}

TEST_F(TestGateway, AddressQueryReturnsEntriesOfTheView)
{
  scripted_server server{ std::vector<std::string>{} };
  StartGateway(std::array{ &server });
  std::string const answer =
    ExchangeAt(mAddresses,
               "GET /api/resolve?name=h HTTP/1.1\r\nHost: x\r\nConnection: "
               "close\r\n\r\n");
  EXPECT_TRUE(Contains(answer, mCallers.Text()));
}
}

}
