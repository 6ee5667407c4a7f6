#include "GatewayFixture.h"

#include <Services/lycheeseamd/PlannedStop.h>

#include <array>
#include <chrono>
#include <future>
#include <thread>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;

// Guards against a planned stop that resets connections whose requests have
// arrived but have not been read: those of a connection that the system has
// accepted and the process hasn't, and of one that was idle.
TEST_F(TestGateway, StopAnswersRequestsThatHaveArrived)
{
  scripted_server server{ { Answer("ok"), Answer("ok"), Answer("ok") } };
  StartGateway(std::array{ &server });
  boost::asio::io_context context;
  tcp::socket idle{ context };
  idle.connect(
    { boost::asio::ip::make_address(mCallers.mAddress), mCallers.mPort });
  std::this_thread::sleep_for(milliseconds{ 50 });
  std::promise<void> isBlocked;
  std::promise<void> haveArrived;
  boost::asio::post(mTraffic.Context(), [&]() {
    isBlocked.set_value();
    haveArrived.get_future().wait();
    mGateway->StartDraining();
    mGateway->Close();
  });
  isBlocked.get_future().wait();
  boost::asio::write(idle, boost::asio::buffer(Request("/once/x")));
  std::future<std::string> accepted = std::async(
    std::launch::async, [this]() { return Exchange(Request("/once/y")); });
  std::this_thread::sleep_for(milliseconds{ 100 });
  haveArrived.set_value();
  std::string answer;
  boost::system::error_code fault;
  boost::asio::read(idle, boost::asio::dynamic_buffer(answer), fault);
  EXPECT_TRUE(answer.ends_with("\r\n\r\nok")) << answer;
  std::string const other = accepted.get();
  EXPECT_TRUE(other.ends_with("\r\n\r\nok")) << other;
  EXPECT_TRUE(Contains(other, "Connection: close"));
}

// Guards against requests that end without an answer when the stop time is
// over.
TEST_F(TestGateway, RequestsThatRunAtTheEndOfAStopGetAnAnswer)
{
  scripted_server server{ { "hang" } };
  StartGateway(std::array{ &server });
  std::future<std::string> answer = std::async(
    std::launch::async, [this]() { return Exchange(Request("/once/x")); });
  std::this_thread::sleep_for(milliseconds{ 100 });
  boost::asio::post(mTraffic.Context(), [this]() { mGateway->EndRequests(); });
  ASSERT_EQ(answer.wait_for(milliseconds{ 1'000 }), std::future_status::ready);
  EXPECT_TRUE(answer.get().starts_with("HTTP/1.1 504"));
}

// Guards against requests that arrive late in a stop, are passed on and get no
// answer of their server because the stop ends: the body of this one comes
// after callers have been told for long to use other instances.
TEST_F(TestGateway, RequestThatArrivesLateInAStopIsRefusedAsNotRun)
{
  scripted_server server{ { "hang" } };
  StartGateway(std::array{ &server });
  boost::asio::io_context context;
  tcp::socket caller{ context };
  caller.connect(
    { boost::asio::ip::make_address(mCallers.mAddress), mCallers.mPort });
  std::string const request = Request("/once/x");
  std::size_t const most = request.size() - 1;
  boost::asio::write(caller, boost::asio::buffer(request.substr(0, most)));
  planned_stop<test_gateway> stop{ mTraffic.Context(),
                                   *mGateway,
                                   milliseconds{ 5'000 } };
  std::future<void> const stopped =
    mTraffic.Invoke([&stop]() { return stop.Begin(); });
  std::this_thread::sleep_for(milliseconds{ 3'500 });
  boost::asio::write(caller, boost::asio::buffer(request.substr(most)));
  std::string answer;
  boost::system::error_code fault;
  boost::asio::read(caller, boost::asio::dynamic_buffer(answer), fault);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
  EXPECT_TRUE(Contains(answer, "Retry-After: "));
  EXPECT_TRUE(Contains(answer, "Connection: close"));
  EXPECT_TRUE(server.Requests().empty());
  stopped.wait();
}

// Guards against one unexpected error that ends the thread, and with it the
// process.
TEST_F(TestGateway, ErrorInOneHandlerLeavesTheGatewayRunning)
{
  scripted_server server{ { Answer("ok") } };
  StartGateway(std::array{ &server });
  boost::asio::post(mTraffic.Context(),
                    []() { throw std::runtime_error("unexpected"); });
  EXPECT_TRUE(Exchange(Request("/once/x")).ends_with("\r\n\r\nok"));
}

}

}
