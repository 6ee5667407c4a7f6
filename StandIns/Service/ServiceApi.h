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

/// Serves the HTTP API of a stand-in service: echoes each request and counts
/// the runs of each POST with an identity. docs/SERVICE-API.md lists the
/// control calls. All calls run on the io_context's only thread.
class service_api
{
public:
  using exchange = std::shared_ptr<http_exchange>;

  service_api(boost::asio::io_context& aContext, backend_server_id aId);

  /// Sets what a crash does; call once before the first request.
  void OnCrash(std::function<void()> aCrash) { mCrash = std::move(aCrash); }

  /// Answers one request.
  void Handle(exchange const& aExchange, std::size_t aPostsOnConnection);

private:
  void Run(exchange const& aExchange, std::size_t aPostsOnConnection);
  void RespondLater(exchange const& aExchange, std::string const& aBody);
  void ReportCounts(exchange const& aExchange);
  void HandleControl(exchange const& aExchange);
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
