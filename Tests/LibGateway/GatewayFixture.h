#pragma once

#include "ScriptedServer.h"
#include <LibControl/ControlThread.h>
#include <LibGateway/Gateway.h>

#include <gtest/gtest.h>
#include <platform/RequestDialect.h>

#include <chrono>
#include <future>

namespace lycheeseam {

inline std::uint16_t
FreePort()
{
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor const acceptor{
    context, { boost::asio::ip::make_address("127.0.0.1"), 0 }
  };
  return acceptor.local_endpoint().port();
}

inline endpoint
FreeAddress()
{
  return { .mAddress = "127.0.0.1", .mPort = FreePort() };
}

inline std::string
Answer(std::string const& aBody, std::string const& aHeaders = {})
{
  return "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline std::string
Chunk(std::string const& aPiece)
{
  return FormatChunkLine(aPiece.size()) + aPiece + "\r\n";
}

inline std::string
StreamHead()
{
  return "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

inline dispatch_route
Route(char const* aPrefix, request_kind aKind, std::uint32_t aAttempts)
{
  return { .mName = route_name{ aPrefix },
           .mHost = "h",
           .mPathPrefix = aPrefix,
           .mKind = aKind,
           .mShares = { { .mPool = pool_name{ "p" } } },
           .mTimeout = std::chrono::seconds{ 2 },
           .mTargetLatency = std::chrono::milliseconds{ 400 },
           .mMaxAttempts = aAttempts,
           .mIsResumable = aKind == request_kind::Stream && aAttempts > 1 };
}

/// A gateway in front of scripted servers, and a caller's connection to it.
class TestGateway : public testing::Test
{
protected:
  using tcp = boost::asio::ip::tcp;
  using test_gateway = gateway<platform::request_dialect>;

  static std::vector<endpoint> AddressesOf(
    std::span<scripted_server* const> aServers)
  {
    std::vector<endpoint> addresses;
    for (scripted_server* const server : aServers)
      addresses.push_back(server->Address());
    return addresses;
  }

  void StartGateway(std::span<scripted_server* const> aServers)
  {
    StartGatewayAt(AddressesOf(aServers));
  }

  void StartGatewayAt(std::span<endpoint const> aServers)
  {
    std::shared_ptr<fleet_view> view = std::make_shared<fleet_view>();
    view->mConfig = std::make_shared<dispatch_config const>(
      1,
      std::vector<dispatch_route>{
        Route("/safe/", request_kind::Idempotent, 2),
        Route("/once/", request_kind::NonIdempotent, 1),
        Route("/stream/", request_kind::Stream, 2),
        Route("/single/", request_kind::Stream, 1),
      },
      std::vector<dispatch_pool>{
        { .mName = pool_name{ "p" }, .mHealthPath = mHealthPath } },
      std::vector<dispatch_workspace>{
        { .mName = workspace_id{ "shop" }, .mKeys = { "secret" } } },
      caller_limits{});
    for (std::size_t index = 0; index < aServers.size(); ++index)
      view->mServers.push_back(
        { .mId = backend_server_id{ "s" + std::to_string(index) },
          .mPool = pool_name{ "p" },
          .mAddress = aServers[index],
          .mSlots = 8 });
    // Another process may take a port between its choice and its use.
    constexpr int kTries = 5;
    for (int tries = 1; !TryStart(*view); ++tries)
      ASSERT_LT(tries, kTries);
  }

  /// Starts the gateway at new addresses; false when one of them is in use.
  bool TryStart(fleet_view aView)
  {
    mCallers = FreeAddress();
    mAddresses = FreeAddress();
    aView.mReadyInstances = { { .mAddress = mCallers } };
    mView.Publish(std::make_shared<fleet_view const>(std::move(aView)));
    try {
      mTraffic.Invoke([this]() { MakeGateway(); });
      return true;
    } catch (boost::system::system_error const&) {
      return false;
    }
  }

  void MakeGateway()
  {
    mGateway = std::make_unique<test_gateway>(
      mTraffic.Context(),
      gateway_options{ .mCallers = mCallers,
                       .mReadiness = FreeAddress(),
                       .mAddresses = mAddresses,
                       .mRetryRatio = mRetryRatio,
                       .mRetrySlack = mRetrySlack },
      mView,
      [](traffic_report const&) {});
    mGateway->Start();
  }

  void TearDown() override
  {
    mTraffic.Stop();
    mGateway.reset();
  }

  static std::string Request(std::string const& aPath,
                             std::string const& aHeaders = {})
  {
    return "POST " + aPath +
           " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 1500\r\n"
           "Authorization: Bearer secret\r\n" +
           aHeaders + "Content-Length: 5\r\nConnection: close\r\n\r\nhello";
  }

  /// Sends bytes and reads until the gateway closes the connection.
  std::string Exchange(std::string const& aBytes)
  {
    return ExchangeAt(mCallers, aBytes);
  }

  static std::string ExchangeAt(endpoint const& aAddress,
                                std::string const& aBytes)
  {
    boost::asio::io_context context;
    tcp::socket socket{ context };
    socket.connect(
      { boost::asio::ip::make_address(aAddress.mAddress), aAddress.mPort });
    boost::asio::write(socket, boost::asio::buffer(aBytes));
    std::string answer;
    boost::system::error_code fault;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), fault);
    return answer;
  }

  /// The same for bytes that arrive in several reads.
  std::string ExchangeInSegments(std::span<std::string const> aSegments)
  {
    boost::asio::io_context context;
    tcp::socket socket{ context };
    socket.connect(
      { boost::asio::ip::make_address(mCallers.mAddress), mCallers.mPort });
    socket.set_option(tcp::no_delay{ true });
    boost::system::error_code fault;
    for (std::string const& segment : aSegments) {
      boost::asio::write(socket, boost::asio::buffer(segment), fault);
      std::this_thread::sleep_for(std::chrono::milliseconds{ 20 });
    }
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), fault);
    return answer;
  }

  std::string mHealthPath;
  double mRetryRatio = 0.2;
  double mRetrySlack = 50;
  endpoint mCallers;
  endpoint mAddresses;
  published<fleet_view> mView{ std::make_shared<fleet_view const>() };
  control_thread mTraffic;
  std::unique_ptr<test_gateway> mGateway;
};

inline bool
Contains(std::string const& aText, std::string const& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

}
