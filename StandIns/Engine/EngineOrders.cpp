#include <StandIns/Engine/EngineApi.h>
#include <StandIns/Engine/EngineJson.h>
#include <StandIns/Engine/RespondJson.h>

namespace lycheeseam::standin {

using boost::beast::http::status;
using nlohmann::json;

void
engine_api::HandleOrder(exchange const& aExchange)
{
  engine_order const order = ParseOrder(aExchange->Request().body());
  if (mOrderHandler.Check(order) == order_answer::StaleFencing) {
    json const error{ { "code", "stale_fencing" },
                      { "newest", mOrderHandler.Newest().Value() } };
    aExchange->Respond(status::conflict, json{ { "error", error } }.dump());
    return;
  }
  if (order.mKind != engine_order_kind::LoadWeights)
    return ExecuteOrder(order, aExchange);
  mIsLoading = true;
  mLoadTimer.expires_after(mOptions.mWeightLoadTime);
  mLoadTimer.async_wait(
    [this, order, aExchange](boost::system::error_code aError) {
      // A later order restarted the timer, which cancels this wait.
      if (aError)
        return RespondError(*aExchange,
                            status::conflict,
                            "superseded",
                            "a newer load order replaced this one");
      mIsLoading = false;
      mGenerator.ClearCache();
      ExecuteOrder(order, aExchange);
    });
}

void
engine_api::ExecuteOrder(engine_order const& aOrder, exchange const& aExchange)
{
  mOrderHandler.Complete(aOrder);
  if (aOrder.mKind == engine_order_kind::UnloadWeights)
    mGenerator.ClearCache();
  RespondOk(*aExchange,
            { { "model", mOrderHandler.Model().Text() },
              { "version", mOrderHandler.Version().Text() },
              { "role", mOrderHandler.Role() },
              { "adapters", mOrderHandler.Adapters() },
              { "incarnation", mIncarnation.Value() } });
}

void
engine_api::ExportBlocks(exchange const& aExchange)
{
  json const body = json::parse(aExchange->Request().body());
  std::vector<block_hash> held = BlocksFromJson(body.at("blocks"));
  std::erase_if(held, [this](block_hash aBlock) {
    return !mGenerator.Cache().Contains(aBlock);
  });
  RespondOk(*aExchange,
            { { "incarnation", mIncarnation.Value() },
              { "version", mOrderHandler.Version().Text() },
              { "blocks", BlocksToJson(held) } });
}

void
engine_api::ImportBlocks(exchange const& aExchange)
{
  json const body = json::parse(aExchange->Request().body());
  if (body.at("version").get<std::string>() != mOrderHandler.Version().Text())
    return RespondError(*aExchange,
                        status::conflict,
                        "other_weights",
                        "version is not the version of the loaded weights");
  mGenerator.Import(BlocksFromJson(body.at("blocks")));
  RespondOk(*aExchange, { { "incarnation", mIncarnation.Value() } });
}

}
