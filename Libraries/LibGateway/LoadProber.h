#pragma once

#include <LibGateway/LoadProbe.h>

#include <boost/asio/io_context.hpp>

#include <memory>

namespace lycheeseam {

/// Probes the loads of servers of adaptive pools that have a health path, when
/// the core's probe_schedule says so. Runs on the traffic thread.
template<gateway_dialect Dialect>
class load_prober
{
public:
  load_prober(boost::asio::io_context& aContext, traffic_core& aCore)
    : mContext(aContext)
    , mCore(aCore)
  {
  }

  /// Sends the probes that are due, at most one for each pool; to be called
  /// several times a second.
  void Tick(instant aNow)
  {
    // A probe through a peer would burden the peer's links and time.
    if (mCore.Reachability().IsCutOff())
      return;
    std::shared_ptr<fleet_view const> const view = mCore.View(aNow);
    if (!view->mConfig)
      return;
    for (dispatch_pool const& pool : view->mConfig->Pools()) {
      if (!pool.mHealthPath.empty())
        Probe(aNow, pool);
    }
  }

private:
  void Probe(instant aNow, dispatch_pool const& aPool)
  {
    server_table const& servers = mCore.Servers();
    if (!servers.IsAdaptive(aNow, aPool.mName))
      return;
    tracked_server const* const chosen =
      mCore.Probes().Choose(aNow, aPool.mName, servers.Pool(aPool.mName));
    if (chosen == nullptr)
      return;
    std::make_shared<load_probe<Dialect>>(
      mContext, mCore, servers.Find(chosen->mRegistered.mId))
      ->Start(aPool.mHealthPath);
  }

  boost::asio::io_context& mContext;
  traffic_core& mCore;
};

}
