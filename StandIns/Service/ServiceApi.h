#pragma once

#include <LibCore/Identifiers.h>

#include <StandIns/Http/HttpExchange.h>
#include <StandIns/Service/RunCounts.h>
#include <StandIns/Service/ServiceControl.h>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace lycheeseam::standin {

/// Answers a plain service's calls: echoes each request, counts each booking
/// and transfer. docs/SERVICE-API.md lists what can be set.
class service_api
{
public:
  using exchange = std::shared_ptr<http_exchange>;

  service_api(boost::asio::io_context& aContext, backend_server_id aId);

  /// What a crash does; set once before the first request.
  void OnCrash(std::function<void()> aCrash) { mCrash = std::move(aCrash); }

  /// Answers one request.
  void Handle(exchange const& aExchange, std::size_t aPostsOnConnection);

private:
  void Run(exchange const& aExchange, std::size_t aPostsOnConnection);
  void RespondLater(exchange const& aExchange, std::string const& aBody);
  void TellCounts(exchange const& aExchange);
  void TakeControl(exchange const& aExchange);
  [[nodiscard]] std::string Echo(http_request const& aRequest,
                                 std::uint64_t aRuns) const;

  boost::asio::io_context& mContext;
  backend_server_id mId;
  run_counts mCounts;
  std::chrono::milliseconds mDelay{ 0 };
  bool mHang = false;
  std::string mCrashOn;
  std::size_t mCloseAfterPosts = 0;
  std::function<void()> mCrash;
};

}
