#include "DaemonProcess.h"
#include <LibCore/Endpoint.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using tcp = boost::asio::ip::tcp;

endpoint
FreeAddress()
{
  boost::asio::io_context context;
  tcp::acceptor const acceptor{
    context, { boost::asio::ip::make_address("127.0.0.1"), 0 }
  };
  return { .mAddress = "127.0.0.1", .mPort = acceptor.local_endpoint().port() };
}

tcp::endpoint
ToTcp(endpoint const& aAddress)
{
  return { boost::asio::ip::make_address(aAddress.mAddress), aAddress.mPort };
}

/// Starts lycheeseamd --fleet with settings of its own. Its store doesn't
/// listen, which an instance has to bear.
class TestDaemonStart : public testing::Test
{
protected:
  TestDaemonStart() { std::filesystem::create_directories(mFolder); }
  ~TestDaemonStart() override { std::filesystem::remove_all(mFolder); }

  [[nodiscard]] std::string Settings() const
  {
    auto const listen = [](char const* aName, endpoint const& aAddress) {
      return "\"" + std::string{ aName } + "\": \"" + aAddress.Text() + "\"";
    };
    return R"({"instance": "entry-1", "failure_domain": "a", "listen": {)" +
           listen("callers", FreeAddress()) + ", " +
           listen("readiness", mReadiness) + ", " +
           listen("addresses", FreeAddress()) + ", " +
           listen("peers", FreeAddress()) + ", " +
           listen("tunnels", FreeAddress()) + "}, " +
           listen("store", FreeAddress()) + R"(, "limits": {"stop_s": 4}})";
  }

  std::string WriteSettings()
  {
    std::ofstream{ mPath } << Settings();
    return mPath;
  }

  daemon_options Options()
  {
    return { .mArguments = { "--fleet", "--config", WriteSettings() } };
  }

  // Waits until the readiness address answers; false if it doesn't in time.
  [[nodiscard]] bool Answers() const
  {
    std::chrono::steady_clock::time_point const end =
      std::chrono::steady_clock::now() + kPatience;
    while (std::chrono::steady_clock::now() < end) {
      if (AskReadiness().starts_with("HTTP/1.1"))
        return true;
      std::this_thread::sleep_for(milliseconds{ 20 });
    }
    return false;
  }

  [[nodiscard]] std::string AskReadiness() const
  {
    boost::asio::io_context context;
    tcp::socket socket{ context };
    boost::system::error_code fault;
    socket.connect(ToTcp(mReadiness), fault);
    std::string const request =
      "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request), fault);
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), fault);
    return answer;
  }

  static constexpr seconds kPatience{ 10 };

  endpoint mReadiness = FreeAddress();
  std::filesystem::path mFolder = std::filesystem::path{ testing::TempDir() } /
                                  ("daemon-" + std::to_string(getpid()) + "-" +
                                   std::to_string(mReadiness.mPort));
  std::string mPath = mFolder / "settings.json";
};

// Guards against a process that ends because its predecessor still listens.
TEST_F(TestDaemonStart, WaitsForAPortThatIsStillTaken)
{
  boost::asio::io_context context;
  tcp::acceptor taken{ context, ToTcp(mReadiness) };
  daemon_process process{ Options() };
  EXPECT_FALSE(process.Wait(milliseconds{ 500 }));
  taken.close();
  EXPECT_TRUE(Answers());
}

TEST_F(TestDaemonStart, StopsAtOnceWhileItWaitsForAPort)
{
  boost::asio::io_context context;
  tcp::acceptor const taken{ context, ToTcp(mReadiness) };
  daemon_process process{ Options() };
  EXPECT_FALSE(process.Wait(milliseconds{ 500 }));
  process.Signal(SIGHUP);
  EXPECT_FALSE(process.Wait(milliseconds{ 200 }));
  process.Signal(SIGTERM);
  EXPECT_EQ(process.Wait(seconds{ 2 }), 0);
}

TEST_F(TestDaemonStart, FailsWhenAPortStaysTaken)
{
  boost::asio::io_context context;
  tcp::acceptor const taken{ context, ToTcp(mReadiness) };
  daemon_process process{ Options() };
  std::optional<int> const status = process.Wait(seconds{ 30 });
  ASSERT_TRUE(status);
  EXPECT_TRUE(WIFEXITED(*status));
  EXPECT_EQ(WEXITSTATUS(*status), 1);
}

// Guards against a process that ends with SIGPIPE when it logs.
TEST_F(TestDaemonStart, RunsWithoutAReaderOfItsOutput)
{
  daemon_options options = Options();
  options.mOutput = standard_output::BrokenPipe;
  daemon_process process{ options };
  EXPECT_TRUE(Answers());
  EXPECT_FALSE(process.Wait(milliseconds{ 100 }));
}

// Guards against log lines that are written to one of the process's own
// connections, which took the number of its closed standard output.
TEST_F(TestDaemonStart, LogsToNoConnectionWhenItsOutputIsClosed)
{
  daemon_options options = Options();
  options.mOutput = standard_output::Closed;
  daemon_process process{ options };
  EXPECT_TRUE(Answers());
  EXPECT_EQ(process.DescriptorPath(STDOUT_FILENO), "/dev/null");
}

// Guards against a process that ends by a signal before it has read its
// settings.
TEST_F(TestDaemonStart, KeepsSignalsThatArriveBeforeItsSettingsAreRead)
{
  ASSERT_EQ(mkfifo(mPath.c_str(), S_IRUSR | S_IWUSR), 0);
  daemon_process process{ { .mArguments = { "--fleet", "--config", mPath } } };
  // Opening the pipe waits for the process to open it as well.
  std::ofstream settings{ mPath };
  process.Signal(SIGHUP);
  EXPECT_FALSE(process.Wait(milliseconds{ 200 }));
  settings << Settings() << std::flush;
  settings.close();
  EXPECT_TRUE(Answers());
  process.Signal(SIGTERM);
  EXPECT_EQ(process.Wait(kPatience), 0);
}

// Guards against a platform that names the settings file by the variable alone.
TEST_F(TestDaemonStart, FindsItsSettingsByTheEnvironment)
{
  daemon_process process{ { .mArguments = { "--fleet" },
                            .mEnvironment = { "LYCHEESEAM_SETTINGS=" +
                                              WriteSettings() } } };
  EXPECT_TRUE(Answers());
}

TEST_F(TestDaemonStart, FailsWithoutASettingsFile)
{
  daemon_process process{ { .mArguments = { "--fleet" } } };
  std::optional<int> const status = process.Wait(kPatience);
  ASSERT_TRUE(status);
  EXPECT_EQ(WEXITSTATUS(*status), 2);
}

}

}
