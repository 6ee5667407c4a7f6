#include "RollingInstance.h"

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace lycheeseam {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr char const* kConfig = R"({
  "version": 1,
  "routes": [{"name": "r", "host": "h", "path_prefix": "/a/",
              "kind": "idempotent", "timeout_ms": 2000,
              "target_latency_ms": 500, "service": "p", "max_attempts": 2,
              "public": true}],
  "services": [{"name": "p"}], "tenants": [],
  "limits": {"max_header_bytes": 4000, "max_body_bytes": 4000,
             "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})";

endpoint
FreeAddress()
{
  boost::asio::io_context context;
  tcp::acceptor const acceptor{
    context, { boost::asio::ip::make_address("127.0.0.1"), 0 }
  };
  return { .mAddress = "127.0.0.1", .mPort = acceptor.local_endpoint().port() };
}

// The answer of a server to a request, both as bytes.
std::string
AnswerTo(std::string const& aRequest, bool aIsGood)
{
  constexpr std::string_view kField = "Request-Id: ";
  std::size_t const start = aRequest.find(kField) + kField.size();
  std::string const id =
    aRequest.substr(start, aRequest.find('\r', start) - start);
  std::string const status = aIsGood ? "200 OK" : "500 Internal Server Error";
  return "HTTP/1.1 " + status + "\r\nRequest-Id: " + id +
         "\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
}

/// One instance, two servers of the old software and two of the new one, and
/// callers.
class TestRollout : public testing::Test
{
protected:
  using server_behaviour = std::function<std::string(std::string const&)>;

  ~TestRollout() override
  {
    mIsStopped = true;
    for (std::thread& caller : mCallers)
      caller.join();
  }

  void Start(server_behaviour const& aNewSoftware)
  {
    auto const old = [](std::string const& aRequest) {
      return AnswerTo(aRequest, true);
    };
    for (auto& server : mOld)
      server = std::make_unique<scripted_server>(old);
    for (auto& server : mNew)
      server = std::make_unique<scripted_server>(aNewSoftware);
    mStore.Write("keyed.op", "config", kConfig);
    for (std::size_t index = 0; index < mOld.size(); ++index)
      WriteServer("old-" + std::to_string(index), *mOld[index], "v1");
    mInstance = std::make_unique<rolling_instance>(
      mStore.Address(), FreeAddress(), FreeAddress());
    ASSERT_TRUE(Await([this]() {
      return mInstance->ServerCount() == 2 &&
             !mStore.Newest("keyed.leases").empty();
    }));
    constexpr int kCallers = 4;
    for (int index = 0; index < kCallers; ++index)
      mCallers.emplace_back([this, index]() { Call(index); });
  }

  void Order(char const* aSeconds)
  {
    for (std::size_t index = 0; index < mNew.size(); ++index)
      WriteServer("new-" + std::to_string(index), *mNew[index], "v2");
    mStore.Write(
      "keyed.op",
      "rollout/p",
      std::string{ R"({"service": "p", "to": "v2", "duration_s": )" } +
        aSeconds + "}");
  }

  void WriteServer(std::string const& aId,
                   scripted_server const& aServer,
                   std::string const& aSoftware)
  {
    mStore.Write("keyed.servers",
                 aId,
                 R"({"service": "p", "zone": "z", "slots": 64,
                     "state": "ready", "born": 7, "seq": 1, "addr": ")" +
                   aServer.Address().Text() + R"(", "version": ")" + aSoftware +
                   "\"}");
  }

  bool AwaitStatus(std::string const& aState)
  {
    return Await([this, &aState]() {
      return mStore.Newest("keyed.status")["rollout/p"] ==
             R"({"state":")" + aState + R"(","to":"v2"})";
    });
  }

  static bool Await(std::function<bool()> const& aCondition)
  {
    steady_clock::time_point const end = steady_clock::now() + seconds{ 20 };
    while (!aCondition()) {
      if (steady_clock::now() > end)
        return false;
      std::this_thread::sleep_for(milliseconds{ 5 });
    }
    return true;
  }

  template<typename Servers>
  static std::size_t CountRequests(Servers const& aServers)
  {
    std::size_t count = 0;
    for (auto const& server : aServers)
      count += server->Requests().size();
    return count;
  }

  // Sends one request after the other.
  void Call(int aCaller)
  {
    for (int index = 0; !mIsStopped; ++index) {
      boost::asio::io_context context;
      tcp::socket socket{ context };
      boost::system::error_code fault;
      socket.connect(
        { boost::asio::ip::make_address(mInstance->Callers().mAddress),
          mInstance->Callers().mPort },
        fault);
      std::string const id =
        std::to_string(aCaller) + "-" + std::to_string(index);
      boost::asio::write(socket,
                         boost::asio::buffer(
                           "GET /a/x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
                           "\r\nDeadline-Ms: 2000\r\n"
                           "Connection: close\r\n\r\n"),
                         fault);
      std::string answer;
      boost::asio::read(socket, boost::asio::dynamic_buffer(answer), fault);
      ++mCalls;
      mFailures += answer.starts_with("HTTP/1.1 200") ? 0 : 1;
      std::this_thread::sleep_for(milliseconds{ 8 });
    }
  }

  restorable_store mStore;
  std::array<std::unique_ptr<scripted_server>, 2> mOld;
  std::array<std::unique_ptr<scripted_server>, 2> mNew;
  std::unique_ptr<rolling_instance> mInstance;
  std::atomic<bool> mIsStopped{ false };
  std::atomic<std::size_t> mCalls{ 0 };
  std::atomic<std::size_t> mFailures{ 0 };
  std::vector<std::thread> mCallers;
};

// Guards against a bad version that gets more requests than the operators
// allow, or that gets any once it is rolled back.
TEST_F(TestRollout, BadVersionIsRolledBackWithinItsExposure)
{
  std::atomic<int> answers{ 0 };
  Start([&answers](std::string const& aRequest) {
    return AnswerTo(aRequest, ++answers % 3 != 0);
  });
  std::size_t const before = CountRequests(mOld);
  Order("8");
  ASSERT_TRUE(AwaitStatus("rolled_back"));
  std::size_t const exposed = CountRequests(mNew);
  std::size_t const arrived = CountRequests(mOld) - before + exposed;
  rollout_limits const limits;
  EXPECT_GT(exposed, 0U);
  EXPECT_LE(static_cast<double>(exposed),
            limits.mShare * static_cast<double>(arrived) + limits.mSlack);
  std::this_thread::sleep_for(seconds{ 1 });
  EXPECT_EQ(CountRequests(mNew), exposed);
  // A request that fails on the target is repeated on other software.
  EXPECT_EQ(mFailures, 0U);
}

// Guards against a good version that isn't completed in its time, and against
// old servers that are stopped under requests.
TEST_F(TestRollout, GoodVersionCompletes)
{
  Start([](std::string const& aRequest) { return AnswerTo(aRequest, true); });
  steady_clock::time_point const ordered = steady_clock::now();
  Order("8");
  ASSERT_TRUE(AwaitStatus("completed"));
  std::size_t const old = CountRequests(mOld);
  EXPECT_LT(steady_clock::now() - ordered, seconds{ 8 });
  std::size_t const target = CountRequests(mNew);
  std::this_thread::sleep_for(milliseconds{ 500 });
  EXPECT_EQ(CountRequests(mOld), old);
  EXPECT_GT(CountRequests(mNew), target);
  EXPECT_EQ(mFailures, 0U);
}

// Guards against requests to software that nobody has ordered: its servers
// register before the order is written.
TEST_F(TestRollout, SoftwareWithoutAnOrderGetsNothingAtFirst)
{
  Start([](std::string const& aRequest) { return AnswerTo(aRequest, true); });
  for (std::size_t index = 0; index < mNew.size(); ++index)
    WriteServer("new-" + std::to_string(index), *mNew[index], "v2");
  ASSERT_TRUE(Await([this]() { return mInstance->ServerCount() == 4; }));
  std::size_t const before = mCalls;
  std::this_thread::sleep_for(seconds{ 2 });
  EXPECT_GT(mCalls, before);
  EXPECT_EQ(CountRequests(mNew), 0U);
}

}
}
