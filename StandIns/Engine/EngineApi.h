#pragma once

#include <StandIns/Engine/EngineControl.h>
#include <StandIns/Engine/EngineOptions.h>
#include <StandIns/Engine/Generator.h>
#include <StandIns/EngineModel/OrderHandler.h>
#include <StandIns/Http/HttpExchange.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace lycheeseam::standin {

/// Serves the HTTP API of a stand-in engine; docs/ENGINE-API.md lists the
/// calls. All calls run on the io_context's only thread.
class engine_api
{
public:
  using exchange = std::shared_ptr<http_exchange>;

  engine_api(boost::asio::io_context& aContext, engine_options aOptions);

  /// Sets what a crash does; call once before the first request.
  void OnCrash(std::function<void()> aCrash) { mCrash = std::move(aCrash); }

  /// Answers one request.
  void Handle(exchange const& aExchange, std::size_t aPostsOnConnection);

private:
  void Route(exchange const& aExchange);
  void Complete(exchange const& aExchange);
  void ReportLoad(exchange const& aExchange);
  void ReportEvents(exchange const& aExchange);
  void HandleOrder(exchange const& aExchange);
  void ExecuteOrder(engine_order const& aOrder, exchange const& aExchange);
  void Cancel(exchange const& aExchange);
  void ExportBlocks(exchange const& aExchange);
  void ImportBlocks(exchange const& aExchange);
  void ReportCounts(exchange const& aExchange);
  void HandleControl(exchange const& aExchange);
  void ApplyControl(engine_control const& aControl);

  engine_options mOptions;
  incarnation mIncarnation;
  generator mGenerator;
  order_handler mOrderHandler;
  boost::asio::steady_timer mLoadTimer;
  bool mIsLoading = false;
  std::string mCrashOn;
  std::size_t mCloseAfterPosts = 0;
  std::function<void()> mCrash;
};

}
